package org.cuminlatch.node.call;

import com.google.protobuf.UnsafeByteOperations;
import java.net.http.HttpHeaders;
import org.cuminlatch.core.admission.SlotDecision;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.Body;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Cancelled;
import org.cuminlatch.wire.proto.call.Failure;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.cuminlatch.wire.proto.call.Header;
import org.cuminlatch.wire.proto.call.Load;
import org.cuminlatch.wire.proto.call.Ping;
import org.cuminlatch.wire.proto.call.Pong;
import org.cuminlatch.wire.proto.call.Refusal;
import org.cuminlatch.wire.proto.call.RefusalReason;

/** Creates the frames that the gate at the target's node sends. */
final class GateFrames {

  private GateFrames() {}

  static CallFrame refusal(AttemptId id, RefusalReason reason, Load load) {
    Refusal refusal = Refusal.newBuilder().setReason(reason).setLoad(load).build();
    return CallFrames.of(id).setRefusal(refusal).build();
  }

  static CallFrame failure(AttemptId id, FailureReason reason, Load load) {
    Failure failure = Failure.newBuilder().setReason(reason).setLoad(load).build();
    return CallFrames.of(id).setFailure(failure).build();
  }

  static CallFrame cancelled(AttemptId id, boolean notRun) {
    Cancelled cancelled = Cancelled.newBuilder().setNotRun(notRun).build();
    return CallFrames.of(id).setCancelled(cancelled).build();
  }

  static CallFrame pong(Ping ping) {
    Pong pong = Pong.newBuilder().setNonce(ping.getNonce()).build();
    return CallFrame.newBuilder().setPong(pong).build();
  }

  static Answer.Builder answer(int status, HttpHeaders headers, long length, byte[] bodyStart) {
    Answer.Builder answer =
        Answer.newBuilder()
            .setStatus(status)
            .setContentLength(length)
            .setBody(UnsafeByteOperations.unsafeWrap(bodyStart));
    headers
        .map()
        .forEach(
            (name, values) -> {
              if (CallHeaders.isForwarded(name)) {
                values.forEach(value -> answer.addHeaders(header(name, value)));
              }
            });
    return answer;
  }

  static Header header(String name, String value) {
    return Header.newBuilder().setName(name).setValue(value).build();
  }

  static CallFrame lastAnswer(AttemptId id, Answer.Builder answer, Load load) {
    return CallFrames.of(id).setAnswer(answer.setLast(true).setLoad(load)).build();
  }

  static CallFrame bodyPart(AttemptId id, byte[] content) {
    Body body = Body.newBuilder().setContent(UnsafeByteOperations.unsafeWrap(content)).build();
    return CallFrames.of(id).setBody(body).build();
  }

  static CallFrame lastBodyPart(AttemptId id, Load load) {
    Body body = Body.newBuilder().setLast(true).setLoad(load).build();
    return CallFrames.of(id).setBody(body).build();
  }

  static RefusalReason reason(SlotDecision.Kind kind) {
    return switch (kind) {
      case QUEUE_FULL -> RefusalReason.QUEUE_FULL;
      case DEADLINE -> RefusalReason.DEADLINE;
      case DRAINING -> RefusalReason.DRAINING;
      case ADMITTED, QUEUED -> RefusalReason.REFUSAL_UNSPECIFIED;
    };
  }
}
