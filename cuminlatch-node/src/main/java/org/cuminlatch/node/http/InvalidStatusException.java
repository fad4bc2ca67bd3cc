package org.cuminlatch.node.http;

/** Thrown if the status line of a response has a status that is not three digits. */
final class InvalidStatusException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  private final String status;

  InvalidStatusException(String status) {
    super("status '" + status + "' is not three digits");
    this.status = status;
  }

  String status() {
    return status;
  }
}
