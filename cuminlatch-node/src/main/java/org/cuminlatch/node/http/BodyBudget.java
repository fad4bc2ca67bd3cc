package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Number of bytes that the bodies and unfinished heads of all requests at a process may occupy. A
 * part of it is kept for small bodies, so that a few large ones don't stop all others.
 *
 * <p>Thread-safe, as the servers of a process share it and run on several event loops.
 */
public final class BodyBudget {

  /**
   * Part of the heap that bodies may occupy. A body exists up to three times: as received, in one
   * piece for its handler, and at the gate of its target; the rest is for all other objects.
   */
  private static final int HEAP_DIVISOR = 4;

  /** Part of the budget that only small bodies may occupy: 96 uploads of 60 KB at 24 MB. */
  private static final int SMALL_DIVISOR = 4;

  private final long capacity;
  private final long smallReserve;
  private final List<Runnable> roomListeners = new CopyOnWriteArrayList<>();
  private long reserved;
  private int waiters;

  /**
   * Creates a budget.
   *
   * @param capacity size in bytes
   * @param smallReserve part of it that only small bodies may occupy, in bytes
   */
  public BodyBudget(long capacity, long smallReserve) {
    check(capacity >= 1, "capacity", "must be at least 1");
    check(
        smallReserve >= 0 && smallReserve <= capacity,
        "smallReserve",
        "must be between 0 and the capacity");
    this.capacity = capacity;
    this.smallReserve = smallReserve;
  }

  /**
   * Creates a budget for a process.
   *
   * @param maxHeapBytes maximum size of the heap of the process, in bytes
   * @return a budget of a quarter of the heap
   */
  public static BodyBudget ofHeap(long maxHeapBytes) {
    long capacity = Math.max(1, maxHeapBytes / HEAP_DIVISOR);
    return new BodyBudget(capacity, capacity / SMALL_DIVISOR);
  }

  /**
   * Reserves bytes for a large body.
   *
   * @param bytes number of bytes
   * @return false if the budget has no room for them; nothing is reserved then
   */
  public boolean tryReserve(int bytes) {
    return reserveUpTo(bytes, capacity - smallReserve);
  }

  /**
   * Reserves bytes for a small body or a head.
   *
   * @param bytes number of bytes
   * @return false if the budget has no room for them; nothing is reserved then
   */
  public boolean tryReserveSmall(int bytes) {
    return reserveUpTo(bytes, capacity);
  }

  private synchronized boolean reserveUpTo(int bytes, long limit) {
    check(bytes >= 0, "bytes", "must not be negative");
    if (reserved + bytes > limit) {
      return false;
    }
    reserved += bytes;
    return true;
  }

  /**
   * Gives reserved bytes back and tells the listeners if something waits for room.
   *
   * @param bytes number of bytes
   */
  public void release(int bytes) {
    boolean awaited;
    synchronized (this) {
      check(bytes >= 0 && bytes <= reserved, "bytes", "must not exceed what is reserved");
      reserved -= bytes;
      awaited = bytes > 0 && waiters > 0;
    }
    if (awaited) {
      roomListeners.forEach(Runnable::run);
    }
  }

  /**
   * Adds a listener for room that becomes free while something waits for it.
   *
   * @param listener called on the thread that releases bytes
   */
  public void addRoomListener(Runnable listener) {
    roomListeners.add(notNull(listener, "listener"));
  }

  /** Counts a body whose reading pauses until there is room. */
  public synchronized void beginWait() {
    waiters++;
  }

  /** Ends the wait of a body, with or without room. */
  public synchronized void endWait() {
    check(waiters > 0, "waiters", "must not become negative");
    waiters--;
  }

  /**
   * Returns whether a body waits for room.
   *
   * @return true if at least one does, at any server of the process
   */
  public synchronized boolean isAwaited() {
    return waiters > 0;
  }

  /**
   * Returns the number of reserved bytes.
   *
   * @return the number of bytes, at most the capacity
   */
  public synchronized long reserved() {
    return reserved;
  }

  /**
   * Returns the size of the budget.
   *
   * @return the size in bytes
   */
  public long capacity() {
    return capacity;
  }
}
