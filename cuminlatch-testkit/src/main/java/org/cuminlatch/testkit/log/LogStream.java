package org.cuminlatch.testkit.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** One stream: its retained records, its waiting readers and its counts. */
final class LogStream {

  private final Deque<byte[]> records = new ArrayDeque<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private long firstOffset;
  private long nextOffset;
  private int retention;
  private long reads;
  private long appends;
  private long bytesRead;
  private long bytesAppended;

  LogStream(int retention) {
    this.retention = retention;
  }

  /** Appends a record, then runs the readers that wait for it. */
  long append(byte[] content) {
    long offset;
    synchronized (this) {
      offset = nextOffset++;
      records.addLast(content);
      appends++;
      bytesAppended += content.length;
      trim();
    }
    wakeWaiters();
    return offset;
  }

  synchronized void retain(int newRetention) {
    retention = newRetention;
    trim();
  }

  private void trim() {
    while (records.size() > retention) {
      records.removeFirst();
      firstOffset++;
    }
  }

  synchronized Page read(long from, int max) {
    List<byte[]> found = new ArrayList<>();
    long skip = from - firstOffset;
    if (skip >= 0 && skip < records.size()) {
      Iterator<byte[]> iterator = records.iterator();
      for (long i = 0; i < skip; i++) {
        iterator.next();
      }
      while (iterator.hasNext() && found.size() < max) {
        found.add(iterator.next());
      }
    }
    return new Page(firstOffset, nextOffset, from, found);
  }

  /** Registers a reader unless a record at or after the offset is there already. */
  synchronized boolean awaitAppend(long from, Runnable waiter) {
    if (from < nextOffset) {
      return false;
    }
    waiters.add(waiter);
    return true;
  }

  synchronized void forget(Runnable waiter) {
    waiters.remove(waiter);
  }

  void wakeWaiters() {
    List<Runnable> woken;
    synchronized (this) {
      woken = List.copyOf(waiters);
      waiters.clear();
    }
    woken.forEach(Runnable::run);
  }

  synchronized void countRead(long bytes) {
    reads++;
    bytesRead += bytes;
  }

  synchronized StreamCounts counts() {
    return new StreamCounts(reads, appends, bytesRead, bytesAppended, firstOffset, nextOffset);
  }

  /** Records from an offset on, in order. */
  record Page(long firstOffset, long nextOffset, long from, List<byte[]> records) {

    boolean truncated() {
      return from < firstOffset;
    }
  }
}
