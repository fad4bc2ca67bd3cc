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

/** Sends the answer to an attempt on as it arrives and ends the attempt. */
final class AnswerForwarder implements TargetAnswer.Listener {

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
  public void head(ResponseInfo head, long length, byte[] first, boolean last) {
    Answer.Builder answer = GateFrames.answer(head.statusCode(), head.headers(), length, first);
    result = OutcomeReport.result(head.statusCode());
    if (last) {
      end(load -> GateFrames.lastAnswer(attempt.id(), answer, load));
      return;
    }
    attempt.answerStarted();
    attempt.send(CallFrames.of(attempt.id()).setAnswer(answer).build());
  }

  @Override
  public void part(byte[] content) {
    attempt.send(GateFrames.part(attempt.id(), content));
  }

  @Override
  public void end() {
    end(load -> GateFrames.lastPart(attempt.id(), load));
  }

  private void end(TargetGate.LastFrame last) {
    gate.finish(attempt, SlotEnd.ANSWERED, AttemptOutcome.ANSWERED, result, last);
  }

  @Override
  public void shed() {
    gate.refuseAdmitted(attempt, RefusalReason.TARGET_SHED, SlotEnd.OVERLOADED);
  }

  @Override
  public void crossed() {
    gate.fail(attempt, FailureReason.ANSWER_CROSSED, SlotEnd.OTHER, Result.FAILURE);
  }

  @Override
  public void progressed() {
    attempt.progressed(clock.instant());
  }
}
