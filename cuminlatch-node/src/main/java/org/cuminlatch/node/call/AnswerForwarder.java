package org.cuminlatch.node.call;

import java.net.http.HttpResponse.ResponseInfo;
import java.time.InstantSource;
import org.cuminlatch.core.admission.SlotEnd;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.cuminlatch.wire.proto.call.RefusalReason;

/** Forwards the target's answer to the entry node as it arrives and then ends the attempt. */
final class AnswerForwarder implements TargetAnswerSubscriber.Listener {

  private final TargetGate gate;
  private final RunningAttempt attempt;
  private final InstantSource clock;
  private Result result = Result.SUCCESS;

  AnswerForwarder(TargetGate gate, RunningAttempt attempt, InstantSource clock) {
    this.gate = gate;
    this.attempt = attempt;
    this.clock = clock;
  }

  @Override
  public void onHead(ResponseInfo head, long length, byte[] first, boolean last) {
    Answer.Builder answer = GateFrames.answer(head.statusCode(), head.headers(), length, first);
    result = OutcomeReporter.result(head.statusCode());
    if (last) {
      finish(load -> GateFrames.lastAnswer(attempt.id(), answer, load));
      return;
    }
    attempt.markAnswerStarted();
    attempt.send(CallFrames.of(attempt.id()).setAnswer(answer).build());
  }

  @Override
  public void onPart(byte[] content) {
    attempt.send(GateFrames.bodyPart(attempt.id(), content));
  }

  @Override
  public void onEnd() {
    finish(load -> GateFrames.lastBodyPart(attempt.id(), load));
  }

  private void finish(TargetGate.LastFrameFactory lastFrame) {
    gate.finish(attempt, SlotEnd.ANSWERED, AttemptOutcome.ANSWERED, result, lastFrame);
  }

  @Override
  public void onShed() {
    gate.refuseAdmitted(attempt, RefusalReason.TARGET_SHED, SlotEnd.OVERLOADED);
  }

  @Override
  public void onCrossed() {
    gate.fail(attempt, FailureReason.ANSWER_CROSSED, SlotEnd.OTHER, Result.FAILURE);
  }

  @Override
  public void onInvalidStatus(int status) {
    gate.fail(attempt, FailureReason.TARGET_BROKEN, SlotEnd.OTHER, Result.FAILURE);
  }

  @Override
  public void onProgress() {
    attempt.recordProgress(clock.instant());
  }
}
