package org.cuminlatch.bench.call;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;

/** Measures the memory of two nodes while large bodies pass through them. */
public final class StreamMemoryExperiment implements Experiment {

  private static final long MEGABYTE = 1_000_000;
  private static final int AT_A_TIME = 8;

  @Override
  public String name() {
    return "stream-memory";
  }

  @Override
  public String summary() {
    return "resident memory of two nodes while bodies of 100 MB pass through them";
  }

  @Override
  public Results run(ExperimentOptions options) {
    String jvm = options.text("jvm", BenchNodeProcess.SMALL);
    long bytes = options.longValue("megabytes", 100) * MEGABYTE;
    List<List<String>> rows = new ArrayList<>();
    try (BulkTarget target = new BulkTarget(bytes);
        BenchNodeProcess beside = BenchNodeProcess.start(jvm, target.uri().toString());
        BenchNodeProcess entry =
            BenchNodeProcess.start(
                jvm, target.uri().toString(), Integer.toString(beside.forwardPort()))) {
      rows.add(row("nothing", List.of(), bytes, entry, beside));
      URI uri = entry.uri("/drawings");
      rows.add(row("1 down", run(1, uri, StreamMemoryExperiment::download), bytes, entry, beside));
      rows.add(row("1 up", run(1, uri, to -> upload(to, bytes)), bytes, entry, beside));
      rows.add(
          row(
              AT_A_TIME + " down",
              run(AT_A_TIME, uri, StreamMemoryExperiment::download),
              bytes,
              entry,
              beside));
      rows.add(
          row(
              AT_A_TIME + " up",
              run(AT_A_TIME, uri, to -> upload(to, bytes)),
              bytes,
              entry,
              beside));
    }
    return new Results(
        "Highest resident memory after streams of " + bytes / MEGABYTE + " MB",
        List.of("streams at a time", "whole", "entry node MiB", "node beside the target MiB"),
        rows,
        List.of("each node a process of its own with MALLOC_ARENA_MAX=2 and " + jvm));
  }

  private static List<Long> run(int count, URI uri, ToLongFunction<URI> transfer) {
    List<CompletableFuture<Long>> running = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      running.add(CompletableFuture.supplyAsync(() -> transfer.applyAsLong(uri)));
    }
    return running.stream().map(CompletableFuture::join).toList();
  }

  private static List<String> row(
      String streams,
      List<Long> moved,
      long bytes,
      BenchNodeProcess entry,
      BenchNodeProcess beside) {
    long whole = moved.stream().filter(count -> count == bytes).count();
    return List.of(
        streams,
        whole + " of " + moved.size(),
        GoodputExperiment.format(entry.highestResidentMegabytes()),
        GoodputExperiment.format(beside.highestResidentMegabytes()));
  }

  private static long download(URI uri) {
    try (InputStream body = uri.toURL().openStream()) {
      byte[] part = new byte[BulkTarget.PART_BYTES];
      long bytes = 0;
      for (int count = body.read(part); count >= 0; count = body.read(part)) {
        bytes += count;
      }
      return bytes;
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  private static long upload(URI uri, long bytes) {
    try {
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      connection.setDoOutput(true);
      connection.setFixedLengthStreamingMode(bytes);
      try (OutputStream body = connection.getOutputStream()) {
        byte[] part = new byte[BulkTarget.PART_BYTES];
        for (long left = bytes; left > 0; left -= part.length) {
          body.write(part, 0, (int) Math.min(left, part.length));
        }
      }
      String taken = new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return Long.parseLong(taken);
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }
}
