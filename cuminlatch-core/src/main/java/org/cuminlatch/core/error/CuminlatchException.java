package org.cuminlatch.core.error;

import static org.cuminlatch.core.Preconditions.notNull;

/** Unchecked error with a code, the step at which it arose and the peer it arose with. */
public final class CuminlatchException extends RuntimeException {

  private static final String NO_PEER = "-";

  private final ErrorCode code;
  private final Step step;
  private final String peer;

  private CuminlatchException(
      ErrorCode code, Step step, String peer, String message, Throwable cause) {
    super(message, cause);
    this.code = notNull(code, "code");
    this.step = notNull(step, "step");
    this.peer = notNull(peer, "peer");
  }

  /**
   * Creates an error that involves no peer.
   *
   * @param code what went wrong
   * @param step where it went wrong
   * @param message one sentence for the operator
   * @return the error
   */
  public static CuminlatchException of(ErrorCode code, Step step, String message) {
    return new CuminlatchException(code, step, NO_PEER, message, null);
  }

  /**
   * Creates an error that arose with a peer.
   *
   * @param code what went wrong
   * @param step where it went wrong
   * @param peer instance or address of the peer
   * @param message one sentence for the operator
   * @return the error
   */
  public static CuminlatchException of(ErrorCode code, Step step, String peer, String message) {
    return new CuminlatchException(code, step, peer, message, null);
  }

  /**
   * Creates an error that wraps its cause.
   *
   * @param code what went wrong
   * @param step where it went wrong
   * @param peer instance or address of the peer
   * @param message one sentence for the operator
   * @param cause the error of the library below
   * @return the error
   */
  public static CuminlatchException of(
      ErrorCode code, Step step, String peer, String message, Throwable cause) {
    return new CuminlatchException(code, step, peer, message, cause);
  }

  /**
   * Returns what went wrong.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns where it went wrong.
   *
   * @return the step
   */
  public Step step() {
    return step;
  }

  /**
   * Returns the peer with which it arose.
   *
   * @return instance or address, {@code "-"} where no peer is involved
   */
  public String peer() {
    return peer;
  }

  @Override
  public String toString() {
    return code + " at " + step + " with " + peer + ": " + getMessage();
  }
}
