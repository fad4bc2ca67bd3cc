package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.inRange;

/**
 * Position of an order among all records of operators; its number is {@link MoveOrder#id}.
 *
 * <p>Numbers are in the order of eras, then of offsets. In a store without eras the number is the
 * offset.
 *
 * @param era era of the store in which the order was read
 * @param offset offset of the order in that era
 */
public record OrderPosition(long era, long offset) {

  private static final int OFFSET_BITS = 40;
  private static final int ERA_BITS = Long.SIZE - 1 - OFFSET_BITS;

  /** Checks the fields. */
  public OrderPosition {
    inRange(era, 0, (1L << ERA_BITS) - 1, "era");
    inRange(offset, 0, (1L << OFFSET_BITS) - 1, "offset");
  }

  /**
   * Returns the position of a number.
   *
   * @param id the number, not negative
   * @return the position
   */
  public static OrderPosition of(long id) {
    return new OrderPosition(id >>> OFFSET_BITS, id & ((1L << OFFSET_BITS) - 1));
  }

  /**
   * Returns the number of the position.
   *
   * @return the number
   */
  public long id() {
    return era << OFFSET_BITS | offset;
  }
}
