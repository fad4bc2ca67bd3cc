package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.function.Consumer;
import org.cuminlatch.core.admission.SlotDecision;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.admission.SlotEnd;
import org.cuminlatch.core.admission.SlotQueue;
import org.cuminlatch.core.admission.SlotRequest;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.route.ReportedLoad;

/** A target and its node; requests run with or without admission control. */
final class SimulatedTarget {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final VirtualTime time;
  private final Random random;
  private final int slots;
  private final Duration meanServiceTime;
  private final SimulationCounters counters;
  private final SlotQueue admission;
  private final Map<AttemptId, PendingAttempt> pendingAttempts = new HashMap<>();
  private final Queue<Runnable> unboundedQueue = new ArrayDeque<>();
  private int busy;

  SimulatedTarget(
      VirtualTime time,
      Random random,
      int slots,
      Duration meanServiceTime,
      SimulationCounters counters) {
    this.time = time;
    this.random = random;
    this.slots = slots;
    this.meanServiceTime = meanServiceTime;
    this.counters = counters;
    this.admission = new SlotQueue(slots);
    time.after(POLL_INTERVAL, this::pollQueue);
  }

  /** Requests a slot under admission control; the callback is called exactly once. */
  void admit(SlotRequest request, Instant startedAt, Consumer<End> onEnd) {
    PendingAttempt attempt = new PendingAttempt(request, startedAt, onEnd);
    pendingAttempts.put(request.attempt(), attempt);
    apply(new SlotDecision(request.attempt(), admission.offer(request, time.now())));
  }

  private void apply(SlotDecision decision) {
    if (decision.kind() == Kind.QUEUED) {
      return;
    }
    PendingAttempt attempt = pendingAttempts.get(decision.attempt());
    if (decision.kind() != Kind.ADMITTED) {
      pendingAttempts.remove(decision.attempt());
      attempt.onEnd().accept(End.REFUSED);
      return;
    }
    counters.recordExecution(attempt.startedAt());
    Duration remaining = Duration.between(time.now(), attempt.request().deadline());
    Duration needed = serviceTime();
    boolean pastDeadline = needed.compareTo(remaining) > 0;
    time.after(pastDeadline ? remaining : needed, () -> finish(attempt, pastDeadline));
  }

  private void finish(PendingAttempt attempt, boolean pastDeadline) {
    AttemptId id = attempt.request().attempt();
    pendingAttempts.remove(id);
    admission.release(id, pastDeadline ? SlotEnd.OVERLOADED : SlotEnd.ANSWERED, time.now());
    attempt.onEnd().accept(pastDeadline ? End.TIMED_OUT : End.ANSWERED);
    admission.poll(time.now()).forEach(this::apply);
  }

  private void pollQueue() {
    admission.poll(time.now()).forEach(this::apply);
    time.after(POLL_INTERVAL, this::pollQueue);
  }

  ReportedLoad load() {
    return new ReportedLoad(admission.busy(), admission.queued(), admission.limit());
  }

  /** Runs a request without admission control, in arrival order from an unbounded queue. */
  void runUnbounded(Instant startedAt, Runnable onEnd) {
    unboundedQueue.add(
        () -> {
          counters.recordExecution(startedAt);
          time.after(serviceTime(), () -> finishUnbounded(onEnd));
        });
    startUnbounded();
  }

  private void startUnbounded() {
    while (busy < slots && !unboundedQueue.isEmpty()) {
      busy++;
      unboundedQueue.poll().run();
    }
  }

  private void finishUnbounded(Runnable onEnd) {
    busy--;
    onEnd.run();
    startUnbounded();
  }

  private Duration serviceTime() {
    return Duration.ofNanos((long) (meanServiceTime.toNanos() * (0.5 + random.nextDouble())));
  }

  /** Result of an attempt under admission control. */
  enum End {
    ANSWERED,
    REFUSED,
    TIMED_OUT
  }

  private record PendingAttempt(SlotRequest request, Instant startedAt, Consumer<End> onEnd) {}
}
