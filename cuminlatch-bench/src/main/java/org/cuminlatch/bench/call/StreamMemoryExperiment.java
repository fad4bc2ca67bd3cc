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

  private static final long BYTES_PER_MEGABYTE = 1_000_000;
  private static final int CONCURRENT_STREAMS = 8;

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
    String jvmOptions = options.text("jvm", BenchNodeProcess.SMALL_JVM_OPTIONS);
    long bodyBytes = options.longValue("megabytes", 100) * BYTES_PER_MEGABYTE;
    List<List<String>> rows = new ArrayList<>();
    try (LargeBodyTarget target = new LargeBodyTarget(bodyBytes);
        BenchNodeProcess targetNode = BenchNodeProcess.start(jvmOptions, target.uri().toString());
        BenchNodeProcess entry =
            BenchNodeProcess.start(
                jvmOptions, target.uri().toString(), Integer.toString(targetNode.forwardPort()))) {
      rows.add(row("nothing", List.of(), bodyBytes, entry, targetNode));
      URI uri = entry.uri("/drawings");
      rows.add(
          row(
              "1 down",
              run(1, uri, StreamMemoryExperiment::download),
              bodyBytes,
              entry,
              targetNode));
      rows.add(row("1 up", run(1, uri, to -> upload(to, bodyBytes)), bodyBytes, entry, targetNode));
      rows.add(
          row(
              CONCURRENT_STREAMS + " down",
              run(CONCURRENT_STREAMS, uri, StreamMemoryExperiment::download),
              bodyBytes,
              entry,
              targetNode));
      rows.add(
          row(
              CONCURRENT_STREAMS + " up",
              run(CONCURRENT_STREAMS, uri, to -> upload(to, bodyBytes)),
              bodyBytes,
              entry,
              targetNode));
    }
    return new Results(
        "Highest resident memory after streams of " + bodyBytes / BYTES_PER_MEGABYTE + " MB",
        List.of("streams at a time", "whole", "entry node MiB", "node beside the target MiB"),
        rows,
        List.of("each node in a separate process with MALLOC_ARENA_MAX=2 and " + jvmOptions));
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
      List<Long> transferredBytes,
      long bodyBytes,
      BenchNodeProcess entry,
      BenchNodeProcess targetNode) {
    long complete = transferredBytes.stream().filter(count -> count == bodyBytes).count();
    return List.of(
        streams,
        complete + " of " + transferredBytes.size(),
        GoodputExperiment.format(entry.peakResidentMebibytes()),
        GoodputExperiment.format(targetNode.peakResidentMebibytes()));
  }

  private static long download(URI uri) {
    try (InputStream body = uri.toURL().openStream()) {
      byte[] chunk = new byte[LargeBodyTarget.CHUNK_BYTES];
      long received = 0;
      for (int count = body.read(chunk); count >= 0; count = body.read(chunk)) {
        received += count;
      }
      return received;
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  private static long upload(URI uri, long bodyBytes) {
    try {
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      connection.setDoOutput(true);
      connection.setFixedLengthStreamingMode(bodyBytes);
      try (OutputStream body = connection.getOutputStream()) {
        byte[] chunk = new byte[LargeBodyTarget.CHUNK_BYTES];
        for (long remaining = bodyBytes; remaining > 0; remaining -= chunk.length) {
          body.write(chunk, 0, (int) Math.min(remaining, chunk.length));
        }
      }
      String received =
          new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return Long.parseLong(received);
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }
}
