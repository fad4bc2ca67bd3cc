package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Latest order for a service and those before it, to tell new orders from known ones, also after
 * the store has returned from an older copy.
 *
 * <p>Within one era, offsets tell which of two orders is later. After a return, the store may hold
 * an earlier order than the latest one until the operator has written that again, at any offset.
 * Orders are therefore compared by content until the latest one has been read in the new era. Not
 * thread-safe.
 */
public final class OrderHistory {

  private static final int MAX_EARLIER = 8;

  private final Deque<MoveOrder> earlier = new ArrayDeque<>();
  private Optional<MoveOrder> current = Optional.empty();

  /** Positions at which the latest order was read first and last. */
  private long first;

  private long readAs;

  /** Position at which the order before the latest one was last read, -1 if there is none. */
  private long previousReadAs = -1;

  /** Creates the history of a service without orders. */
  public OrderHistory() {}

  /** What an order is in relation to the latest known one. */
  public enum Kind {
    /** A later order, which replaces the latest known one. */
    NEW,
    /** The latest known order, perhaps at another position. */
    SAME,
    /** An order that came before the latest known one. */
    EARLIER,
    /**
     * An order of a later era that may have come before the latest known one, which the store has
     * lost then and the operator writes again.
     */
    UNCLEAR
  }

  /**
   * Compares an order with the latest known one.
   *
   * @param order the order, with its position in the latest era in which it was read
   * @param rewritten whether the operator has had the time to write again what the store has lost
   *     in its latest return
   * @return what it is
   */
  public Kind classify(MoveOrder order, boolean rewritten) {
    notNull(order, "order");
    if (current.isEmpty()) {
      return Kind.NEW;
    }
    if (isCurrent(order)) {
      return Kind.SAME;
    }
    OrderPosition position = OrderPosition.of(order.id());
    OrderPosition known = OrderPosition.of(readAs);
    if (position.era() <= known.era()) {
      return order.id() > readAs ? Kind.NEW : Kind.EARLIER;
    }
    if (order.hasContentOf(current.get())) {
      return !rewritten || position.offset() == known.offset() ? Kind.SAME : Kind.NEW;
    }
    if (rewritten) {
      return Kind.NEW;
    }
    boolean mayBeEarlier = earlier.stream().anyMatch(order::hasContentOf);
    return position.offset() > known.offset() && !mayBeEarlier ? Kind.NEW : Kind.UNCLEAR;
  }

  /**
   * Makes an order the latest one.
   *
   * @param order the order, which {@link #classify} has found to be new
   */
  public void accept(MoveOrder order) {
    current.ifPresent(
        previous -> {
          earlier.addLast(previous);
          previousReadAs = readAs;
        });
    if (earlier.size() > MAX_EARLIER) {
      earlier.removeFirst();
    }
    current = Optional.of(notNull(order, "order"));
    first = order.id();
    readAs = order.id();
  }

  /**
   * Records that the latest order was read at a position, by this node or another one.
   *
   * @param id number of the position
   * @return whether a node that does not read the store could take the order for a new one there
   */
  public boolean recordPosition(long id) {
    if (id > previousReadAs) {
      first = Math.min(first, id);
    }
    if (id <= readAs) {
      return false;
    }
    boolean moved = OrderPosition.of(id).offset() != OrderPosition.of(readAs).offset();
    readAs = id;
    return moved;
  }

  /**
   * Returns the latest order.
   *
   * @return the order; empty if there is none
   */
  public Optional<MoveOrder> current() {
    return current;
  }

  /**
   * Returns the position at which the latest order was last read.
   *
   * @return number of the position
   */
  public long readAs() {
    return readAs;
  }

  /**
   * Returns whether an order is the latest one at one of its known positions. A new order between
   * the first and the last of them would have replaced it.
   *
   * @param order the order
   * @return true if the content is equal and the position is between the first and the last one
   */
  public boolean isCurrent(MoveOrder order) {
    notNull(order, "order");
    return current.filter(order::hasContentOf).isPresent()
        && order.id() >= first
        && order.id() <= readAs;
  }

  /**
   * Returns whether a statement refers to the latest order.
   *
   * <p>A process that was started after a return does not know the positions of earlier eras, so
   * that it goes by the content.
   *
   * @param statement the statement
   * @return true if the content is equal, and the position is unknown, one of this order, or one
   *     between those of this order and of the one before it in an earlier era
   */
  public boolean isStatedBy(MoveStatement statement) {
    notNull(statement, "statement");
    if (current.isEmpty()
        || !statement.service().equals(current.get().service())
        || !statement.version().equals(current.get().version())) {
      return false;
    }
    long id = statement.order();
    boolean ofEarlierEra = id >= 0 && OrderPosition.of(id).era() < OrderPosition.of(first).era();
    return id < 0 || (id >= first && id <= readAs) || (ofEarlierEra && id > previousReadAs);
  }
}
