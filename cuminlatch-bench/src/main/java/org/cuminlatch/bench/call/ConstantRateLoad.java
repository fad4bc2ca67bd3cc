package org.cuminlatch.bench.call;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Load generator that calls several URIs in turn at a constant rate. */
final class ConstantRateLoad {

  private static final int THREADS = 32;
  private static final int STATUS_OK = 200;
  private static final long MAX_RECORDABLE_NANOS = 60_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final List<URI> uris;
  private final List<Histogram> latencyNanos = new ArrayList<>();
  private final AtomicLong failures = new AtomicLong();

  ConstantRateLoad(List<URI> uris) {
    System.setProperty("http.maxConnections", Integer.toString(2 * THREADS));
    this.uris = List.copyOf(uris);
    uris.forEach(
        uri -> latencyNanos.add(new ConcurrentHistogram(MAX_RECORDABLE_NANOS, SIGNIFICANT_DIGITS)));
  }

  /** Runs the load; each URI is called at the given rate. */
  void run(int callsPerSecond, int seconds) {
    long calls = (long) callsPerSecond * seconds * uris.size();
    double intervalNanos = 1e9 / callsPerSecond / uris.size();
    AtomicLong nextCall = new AtomicLong();
    long startNanos = System.nanoTime();
    ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    List<Future<?>> workers = new ArrayList<>();
    for (int i = 0; i < THREADS; i++) {
      workers.add(threads.submit(() -> runWorker(nextCall, calls, startNanos, intervalNanos)));
    }
    workers.forEach(ConstantRateLoad::await);
    threads.shutdown();
  }

  private static void await(Future<?> worker) {
    try {
      worker.get();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException failed) {
      throw new IllegalStateException(failed.getCause());
    }
  }

  private void runWorker(AtomicLong nextCall, long calls, long startNanos, double intervalNanos) {
    for (long i = nextCall.getAndIncrement(); i < calls; i = nextCall.getAndIncrement()) {
      long dueNanos = startNanos + (long) (i * intervalNanos);
      for (long remaining = dueNanos - System.nanoTime();
          remaining > 0;
          remaining = dueNanos - System.nanoTime()) {
        LockSupport.parkNanos(remaining);
      }
      int index = (int) (i % uris.size());
      call(uris.get(index), latencyNanos.get(index));
    }
  }

  private void call(URI uri, Histogram histogram) {
    long startNanos = System.nanoTime();
    try {
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      if (connection.getResponseCode() != STATUS_OK) {
        failures.incrementAndGet();
      }
      try (InputStream body = connection.getInputStream()) {
        body.readAllBytes();
      }
    } catch (IOException error) {
      failures.incrementAndGet();
      throw new UncheckedIOException(error);
    }
    histogram.recordValue(System.nanoTime() - startNanos);
  }

  double millis(int uri, double percentile) {
    return latencyNanos.get(uri).getValueAtPercentile(percentile) / 1e6;
  }

  long failures() {
    return failures.get();
  }
}
