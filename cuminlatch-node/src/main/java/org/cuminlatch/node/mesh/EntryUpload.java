package org.cuminlatch.node.mesh;

import com.google.protobuf.UnsafeByteOperations;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.node.http.BodyReceiver;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Body;

/**
 * Body of a call that is sent on in parts: passes them to the gate of the attempt that has granted
 * credit. From the first part on, it belongs to that attempt.
 */
final class EntryUpload implements BodyReceiver {

  private final ServerExchange exchange;
  private final MeshMetrics metrics;
  private final Runnable abortListener;
  private TargetLink link;
  private AttemptId attempt;
  private long sentBytes;
  private boolean complete;
  private boolean stopped;

  EntryUpload(ServerExchange exchange, MeshMetrics metrics, Runnable abortListener) {
    this.exchange = exchange;
    this.metrics = metrics;
    this.abortListener = abortListener;
    exchange.receiveBody(this);
  }

  /** Sends as much of the body as the gate of an attempt allows. */
  void onCredit(TargetLink gateLink, AttemptId gateAttempt, int bytes) {
    if (!stopped) {
      link = gateLink;
      attempt = gateAttempt;
      exchange.grantCredit(bytes);
    }
  }

  @Override
  public void onPart(byte[] content, boolean last) {
    if (stopped) {
      return;
    }
    sentBytes += content.length;
    complete = last;
    metrics.countUploadBytes(content.length);
    link.send(
        CallFrames.of(attempt)
            .setBody(
                Body.newBuilder()
                    .setContent(UnsafeByteOperations.unsafeWrap(content))
                    .setLast(last))
            .build());
  }

  @Override
  public void onAborted() {
    stopped = true;
    abortListener.run();
  }

  /** Returns whether a part has been sent to a gate. */
  boolean isSent() {
    return sentBytes > 0;
  }

  long sentBytes() {
    return sentBytes;
  }

  /** Sends no further part. */
  void stop() {
    stopped = true;
  }

  /** Counts the upload at the end of its call. */
  void end() {
    stop();
    metrics.countUpload(complete ? "all" : isSent() ? "part" : "none");
  }
}
