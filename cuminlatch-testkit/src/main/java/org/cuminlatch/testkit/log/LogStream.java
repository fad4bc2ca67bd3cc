package org.cuminlatch.testkit.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** One stream of the log: its retained records, its waiting readers and its usage counters. */
final class LogStream {

  private final Deque<byte[]> records = new ArrayDeque<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private long firstOffset;
  private long nextOffset;
  private int retentionRecords;
  private long reads;
  private long appends;
  private long bytesRead;
  private long bytesAppended;

  LogStream(int retentionRecords) {
    this.retentionRecords = retentionRecords;
  }

  /** Appends a record, wakes the waiting readers and returns the offset of the record. */
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

  synchronized void setRetention(int newRetentionRecords) {
    retentionRecords = newRetentionRecords;
    trim();
  }

  private void trim() {
    while (records.size() > retentionRecords) {
      records.removeFirst();
      firstOffset++;
    }
  }

  synchronized Page read(long from, int max) {
    List<byte[]> found = new ArrayList<>();
    long skipped = from - firstOffset;
    if (skipped >= 0 && skipped < records.size()) {
      Iterator<byte[]> iterator = records.iterator();
      for (long i = 0; i < skipped; i++) {
        iterator.next();
      }
      while (iterator.hasNext() && found.size() < max) {
        found.add(iterator.next());
      }
    }
    return new Page(firstOffset, nextOffset, from, found);
  }

  /**
   * Registers a waiting reader; returns false if a record at or after the offset already exists.
   */
  synchronized boolean addWaiter(long from, Runnable waiter) {
    if (from < nextOffset) {
      return false;
    }
    waiters.add(waiter);
    return true;
  }

  synchronized void removeWaiter(Runnable waiter) {
    waiters.remove(waiter);
  }

  void wakeWaiters() {
    List<Runnable> readyWaiters;
    synchronized (this) {
      readyWaiters = List.copyOf(waiters);
      waiters.clear();
    }
    readyWaiters.forEach(Runnable::run);
  }

  synchronized void countRead(long bytes) {
    reads++;
    bytesRead += bytes;
  }

  synchronized StreamCounts counts() {
    return new StreamCounts(reads, appends, bytesRead, bytesAppended, firstOffset, nextOffset);
  }

  /** Consecutive records from an offset on, with the bounds of the stream. */
  record Page(long firstOffset, long nextOffset, long from, List<byte[]> records) {

    boolean truncated() {
      return from < firstOffset;
    }
  }
}
