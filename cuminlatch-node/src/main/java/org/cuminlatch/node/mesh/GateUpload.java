package org.cuminlatch.node.mesh;

import io.netty.channel.ChannelFuture;
import org.cuminlatch.node.http.ClientRequest;
import org.cuminlatch.node.http.ClientUpload;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Body;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Credit;

/**
 * Body of an attempt that the entry node sends in parts: passes them on to the target and grants
 * credit for more once they were written to the target's socket.
 */
final class GateUpload {

  /** Size of the part of a body that may be on its way between the entry node and the target. */
  static final int WINDOW_BYTES = 256 * 1024;

  private final GateAttempt attempt;
  private ClientUpload call;
  private boolean opened;
  private boolean started;
  private boolean complete;
  private long unwrittenBytes;

  GateUpload(GateAttempt attempt) {
    this.attempt = attempt;
  }

  void setCall(ClientUpload newCall) {
    call = newCall;
  }

  /** Lets the entry node send the first part, as a connection to the target is open. */
  void onOpened() {
    opened = true;
    grantCredit(WINDOW_BYTES);
  }

  /** Returns whether the entry node has been allowed to send the body. */
  boolean isOpened() {
    return opened;
  }

  /** Returns whether any byte of the request may have been sent to the target. */
  boolean isStarted() {
    return started;
  }

  /** Returns whether the last part of the body has come from the entry node. */
  boolean isComplete() {
    return complete;
  }

  /** Returns whether the target has been sent all that has come, and the rest is awaited. */
  boolean awaitsSender() {
    return !complete && unwrittenBytes == 0;
  }

  /** Sends the head of the request; returns false if the connection can't be used any more. */
  boolean start(ClientRequest request) {
    started = call.start(request, attempt.begin().getContentLength());
    return started;
  }

  void send(Body part) {
    int bytes = part.getContent().size();
    complete = part.getLast();
    unwrittenBytes += bytes;
    call.send(part.getContent().toByteArray(), part.getLast())
        .addListener((ChannelFuture written) -> onWritten(bytes, written.isSuccess()));
  }

  private void onWritten(int bytes, boolean success) {
    if (success) {
      unwrittenBytes -= bytes;
      if (!complete) {
        grantCredit(bytes);
      }
    }
  }

  private void grantCredit(int bytes) {
    CallFrame frame =
        CallFrames.of(attempt.id()).setCredit(Credit.newBuilder().setBytes(bytes)).build();
    attempt.origin().send(frame);
  }
}
