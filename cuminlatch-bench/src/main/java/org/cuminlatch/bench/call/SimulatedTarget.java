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

/** A target with the node beside it, with and without admission control. */
final class SimulatedTarget {

  private static final Duration SWEEP = Duration.ofMillis(20);

  private final VirtualTime time;
  private final Random random;
  private final int slots;
  private final Duration mean;
  private final SimulationTally tally;
  private final SlotQueue admission;
  private final Map<AttemptId, Running> running = new HashMap<>();
  private final Queue<Runnable> unlimited = new ArrayDeque<>();
  private int busy;

  SimulatedTarget(
      VirtualTime time, Random random, int slots, Duration mean, SimulationTally tally) {
    this.time = time;
    this.random = random;
    this.slots = slots;
    this.mean = mean;
    this.tally = tally;
    this.admission = new SlotQueue(slots);
    time.after(SWEEP, this::sweep);
  }

  /** Asks for a slot under admission control; the end is told once. */
  void admit(SlotRequest request, Instant begun, Consumer<End> ended) {
    Running attempt = new Running(request, begun, ended);
    running.put(request.attempt(), attempt);
    apply(new SlotDecision(request.attempt(), admission.offer(request, time.now())));
  }

  private void apply(SlotDecision decision) {
    if (decision.kind() == Kind.QUEUED) {
      return;
    }
    Running attempt = running.get(decision.attempt());
    if (decision.kind() != Kind.ADMITTED) {
      running.remove(decision.attempt());
      attempt.ended().accept(End.REFUSED);
      return;
    }
    tally.executed(attempt.begun());
    Duration left = Duration.between(time.now(), attempt.request().deadline());
    Duration needed = serviceTime();
    boolean late = needed.compareTo(left) > 0;
    time.after(late ? left : needed, () -> finish(attempt, late));
  }

  private void finish(Running attempt, boolean late) {
    AttemptId id = attempt.request().attempt();
    running.remove(id);
    admission.release(id, late ? SlotEnd.OVERLOADED : SlotEnd.ANSWERED, time.now());
    attempt.ended().accept(late ? End.TIMED_OUT : End.ANSWERED);
    admission.poll(time.now()).forEach(this::apply);
  }

  private void sweep() {
    admission.poll(time.now()).forEach(this::apply);
    time.after(SWEEP, this::sweep);
  }

  ReportedLoad load() {
    return new ReportedLoad(admission.busy(), admission.queued(), admission.limit());
  }

  /** Runs a request after all that came before it, however long that takes. */
  void runInTurn(Instant begun, Runnable ended) {
    unlimited.add(
        () -> {
          tally.executed(begun);
          time.after(serviceTime(), () -> leave(ended));
        });
    startNext();
  }

  private void startNext() {
    while (busy < slots && !unlimited.isEmpty()) {
      busy++;
      unlimited.poll().run();
    }
  }

  private void leave(Runnable ended) {
    busy--;
    ended.run();
    startNext();
  }

  private Duration serviceTime() {
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }

  /** How an attempt under admission control ended. */
  enum End {
    ANSWERED,
    REFUSED,
    TIMED_OUT
  }

  private record Running(SlotRequest request, Instant begun, Consumer<End> ended) {}
}
