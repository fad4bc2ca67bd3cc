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

/** Calls at a steady rate, in turn to each of several addresses. */
final class PacedLoad {

  private static final int THREADS = 32;
  private static final int OK = 200;
  private static final long HIGHEST_NANOS = 60_000_000_000L;
  private static final int DIGITS = 3;

  private final List<URI> addresses;
  private final List<Histogram> nanos = new ArrayList<>();
  private final AtomicLong failures = new AtomicLong();

  PacedLoad(List<URI> addresses) {
    System.setProperty("http.maxConnections", Integer.toString(2 * THREADS));
    this.addresses = List.copyOf(addresses);
    addresses.forEach(address -> nanos.add(new ConcurrentHistogram(HIGHEST_NANOS, DIGITS)));
  }

  /** Runs the load; each address gets the given rate. */
  void run(int callsPerSecond, int seconds) {
    long calls = (long) callsPerSecond * seconds * addresses.size();
    double gapNanos = 1e9 / callsPerSecond / addresses.size();
    AtomicLong next = new AtomicLong();
    long start = System.nanoTime();
    ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    List<Future<?>> ends = new ArrayList<>();
    for (int i = 0; i < THREADS; i++) {
      ends.add(threads.submit(() -> work(next, calls, start, gapNanos)));
    }
    ends.forEach(PacedLoad::await);
    threads.shutdown();
  }

  private static void await(Future<?> end) {
    try {
      end.get();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException failed) {
      throw new IllegalStateException(failed.getCause());
    }
  }

  private void work(AtomicLong next, long calls, long start, double gapNanos) {
    for (long i = next.getAndIncrement(); i < calls; i = next.getAndIncrement()) {
      long due = start + (long) (i * gapNanos);
      for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
        LockSupport.parkNanos(left);
      }
      int which = (int) (i % addresses.size());
      call(addresses.get(which), nanos.get(which));
    }
  }

  private void call(URI address, Histogram histogram) {
    long begin = System.nanoTime();
    try {
      HttpURLConnection connection = (HttpURLConnection) address.toURL().openConnection();
      if (connection.getResponseCode() != OK) {
        failures.incrementAndGet();
      }
      try (InputStream body = connection.getInputStream()) {
        body.readAllBytes();
      }
    } catch (IOException error) {
      failures.incrementAndGet();
      throw new UncheckedIOException(error);
    }
    histogram.recordValue(System.nanoTime() - begin);
  }

  double millis(int address, double percentile) {
    return nanos.get(address).getValueAtPercentile(percentile) / 1e6;
  }

  long failures() {
    return failures.get();
  }
}
