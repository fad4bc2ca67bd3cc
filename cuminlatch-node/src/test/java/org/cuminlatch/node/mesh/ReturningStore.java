package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/**
 * Store in memory that returns from an older copy when a test says so. Answers at once, except for
 * reads that wait for records, which the test ends.
 */
final class ReturningStore implements KeyedStore {

  private final Map<Stream, List<Item>> streams = new EnumMap<>(Stream.class);
  private final List<String> calls = new ArrayList<>();
  private long era = 1;
  private CompletableFuture<Page> waitingRead = new CompletableFuture<>();

  private List<Item> items(Stream stream) {
    return streams.computeIfAbsent(stream, unused -> new ArrayList<>());
  }

  synchronized long put(Stream stream, String key, byte[] value) {
    items(stream).add(new Item(key, value, items(stream).size()));
    return items(stream).size();
  }

  /** Drops all records of a stream from an offset on and begins a new era. */
  synchronized void returnWithout(Stream stream, long fromOffset) {
    items(stream).removeIf(item -> item.offset() >= fromOffset);
    era++;
  }

  synchronized long era() {
    return era;
  }

  /** Returns the calls so far, each as operation and stream. */
  synchronized List<String> calls() {
    return List.copyOf(calls);
  }

  /** Ends the read that waits with what the store holds now. */
  synchronized void endWaitingRead(Stream stream, long from) {
    waitingRead.complete(page(stream, from));
  }

  synchronized void failWaitingRead(ErrorCode code) {
    waitingRead.completeExceptionally(
        CuminlatchException.of(code, Step.LOG_READ, "store", "read failed"));
  }

  private Page page(Stream stream, long from) {
    List<Item> found = items(stream).stream().filter(item -> item.offset() >= from).toList();
    long end = items(stream).size();
    return new Page(found, Math.max(from, end), end, OptionalLong.of(era));
  }

  @Override
  public synchronized CompletionStage<Page> newest(Stream stream) {
    calls.add("newest " + stream);
    Map<String, Item> newest = new LinkedHashMap<>();
    items(stream).forEach(item -> newest.put(item.key(), item));
    long end = items(stream).size();
    return CompletableFuture.completedFuture(
        new Page(List.copyOf(newest.values()), end, end, OptionalLong.of(era)));
  }

  @Override
  public synchronized CompletionStage<Page> follow(Stream stream, long from, Duration maxWait) {
    calls.add("follow " + stream + " " + from);
    if (maxWait.isZero() || items(stream).size() > from) {
      return CompletableFuture.completedFuture(page(stream, from));
    }
    waitingRead = new CompletableFuture<>();
    return waitingRead;
  }

  @Override
  public synchronized CompletionStage<Appended> append(
      Stream stream, String key, byte[] value, OptionalLong expectedEnd) {
    calls.add("append " + stream);
    if (expectedEnd.isPresent() && expectedEnd.getAsLong() != items(stream).size()) {
      return CompletableFuture.failedFuture(
          CuminlatchException.of(
              ErrorCode.RECORD_REFUSED, Step.LOG_APPEND, "store", "stream has another end"));
    }
    return CompletableFuture.completedFuture(
        new Appended(put(stream, key, value), OptionalLong.of(era)));
  }
}
