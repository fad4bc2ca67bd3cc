package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Number of bytes that the bodies and unfinished heads of all requests at a process may occupy. A
 * part of it is kept for small bodies, so that a few large ones don't stop all others.
 *
 * <p>One body at a time may be longer than the room for large bodies. While it is held, there is
 * room only for small ones, in their part of the budget.
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

  /**
   * Share of the heap that one oversized body may occupy: 42 of 96 MB. It exists twice while it is
   * sent; at 48 MB, the heap does not hold it.
   */
  private static final int OVERSIZED_PERCENT = 44;

  private final long oversizedCapacity;
  private boolean oversizedHeld;
  private long oversizedBytes;
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
   * @param oversizedCapacity size of the one body that may be longer, in bytes
   */
  public BodyBudget(long capacity, long smallReserve, long oversizedCapacity) {
    check(capacity >= 1, "capacity", "must be at least 1");
    check(
        smallReserve >= 0 && smallReserve <= capacity,
        "smallReserve",
        "must be between 0 and the capacity");
    this.capacity = capacity;
    this.smallReserve = smallReserve;
    this.oversizedCapacity = oversizedCapacity;
  }

  /**
   * Creates a budget for a process.
   *
   * @param maxHeapBytes maximum size of the heap of the process, in bytes
   * @return a budget of a quarter of the heap
   */
  public static BodyBudget ofHeap(long maxHeapBytes) {
    long capacity = Math.max(1, maxHeapBytes / HEAP_DIVISOR);
    long oversizedCapacity = maxHeapBytes * OVERSIZED_PERCENT / 100;
    return new BodyBudget(capacity, capacity / SMALL_DIVISOR, oversizedCapacity);
  }

  /**
   * Reserves bytes for a large body.
   *
   * @param bytes number of bytes
   * @return false if the budget has no room for them; nothing is reserved then
   */
  public synchronized boolean tryReserve(int bytes) {
    return reserveUpTo(bytes, oversizedHeld ? 0 : capacity - smallReserve);
  }

  /**
   * Reserves bytes for a small body or a head.
   *
   * @param bytes number of bytes
   * @return false if the budget has no room for them; nothing is reserved then
   */
  public synchronized boolean tryReserveSmall(int bytes) {
    return reserveUpTo(bytes, oversizedHeld ? smallReserve : capacity);
  }

  private boolean reserveUpTo(int bytes, long limit) {
    check(bytes >= 0, "bytes", "must not be negative");
    if (reserved + bytes > limit) {
      return false;
    }
    reserved += bytes;
    return true;
  }

  /** Returns whether a large body of a length can't fit, whatever others occupy. */
  boolean isOversized(long bytes) {
    return bytes > capacity - smallReserve;
  }

  /**
   * Begins to hold an oversized body: one that does not fit into the room for large bodies.
   *
   * @param ownBytes bytes that it has reserved so far, which become part of the oversized body
   * @return false if there is one already, or if other bodies occupy more than the small reserve
   */
  synchronized boolean tryBeginOversized(int ownBytes) {
    if (oversizedHeld || reserved - ownBytes > smallReserve) {
      return false;
    }
    oversizedHeld = true;
    oversizedBytes = ownBytes;
    reserved -= ownBytes;
    return true;
  }

  /** Reserves bytes for the oversized body; returns false if it is longer than it may be. */
  synchronized boolean tryReserveOversized(int bytes) {
    if (oversizedBytes + bytes > oversizedCapacity) {
      return false;
    }
    oversizedBytes += bytes;
    return true;
  }

  /** Gives the oversized body up. */
  void releaseOversized() {
    boolean awaited;
    synchronized (this) {
      check(oversizedHeld, "oversizedHeld", "must not be released twice");
      oversizedHeld = false;
      oversizedBytes = 0;
      awaited = waiters > 0;
    }
    if (awaited) {
      roomListeners.forEach(Runnable::run);
    }
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
   * @return the number of bytes, with those of an oversized body
   */
  public synchronized long reserved() {
    return reserved + oversizedBytes;
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
