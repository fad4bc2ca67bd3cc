package org.cuminlatch.core.error;

import static org.cuminlatch.core.Preconditions.notNull;

/** Unchecked exception with an error code, the step in which it occurred and the peer involved. */
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
   * Creates an exception that involves no peer.
   *
   * @param code kind of the error
   * @param step step in which the error occurred
   * @param message one sentence for the operator
   * @return the exception
   */
  public static CuminlatchException of(ErrorCode code, Step step, String message) {
    return new CuminlatchException(code, step, NO_PEER, message, null);
  }

  /**
   * Creates an exception that involves a peer.
   *
   * @param code kind of the error
   * @param step step in which the error occurred
   * @param peer instance or address of the peer
   * @param message one sentence for the operator
   * @return the exception
   */
  public static CuminlatchException of(ErrorCode code, Step step, String peer, String message) {
    return new CuminlatchException(code, step, peer, message, null);
  }

  /**
   * Creates an exception that involves a peer and wraps its cause.
   *
   * @param code kind of the error
   * @param step step in which the error occurred
   * @param peer instance or address of the peer
   * @param message one sentence for the operator
   * @param cause the underlying exception
   * @return the exception
   */
  public static CuminlatchException of(
      ErrorCode code, Step step, String peer, String message, Throwable cause) {
    return new CuminlatchException(code, step, peer, message, cause);
  }

  /**
   * Returns the kind of the error.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns the step in which the error occurred.
   *
   * @return the step
   */
  public Step step() {
    return step;
  }

  /**
   * Returns the peer involved.
   *
   * @return instance or address, {@code "-"} if no peer is involved
   */
  public String peer() {
    return peer;
  }

  @Override
  public String toString() {
    return code + " at " + step + " with " + peer + ": " + getMessage();
  }
}
