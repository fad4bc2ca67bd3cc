import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case: the time of day of a machine is ahead and jumps back; its backend starts before that, ends
 * and starts again under its id, and later reports that it leaves.
 */
final class BackwardClock {

  /** Jump of the site's {@code clock_step}. */
  private static final int JUMP_MILLIS = 2400;

  /** Time between the two starts of the backend. */
  private static final int FIRST_LIFE_MILLIS = 1500;

  private static final int DOWN_MILLIS = 300;

  /** Bound {@code drain_s} of the site. */
  private static final int DRAIN_MILLIS = 2000;

  /** Time for which the backend goes on serving after the acknowledgement. */
  private static final int SERVES_ON_MILLIS = 6000;

  /** Longer than {@code stable_window_s} after the jump, so that all machines are in touch. */
  private static final int CALM_MILLIS = 6000;

  private static final int WORK_MILLIS = 20;
  private static final int MILLIS_BETWEEN_REQUESTS = 20;
  private static final int DEADLINE_MILLIS = 1200;

  private BackwardClock() {}

  public static void main(String[] args) throws IOException {
    Lab.run(Path.of(args[0]), BackwardClock::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Store store = lab.add(new Store(lab.storeIp));
    store.put("keyed.op", "config", Store.configuration(7,
        Store.route("stock", "idempotent", "bookings", 1.2, 0.3, 2), "bookings", "dispatch"));
    String[] services = {"bookings", "bookings", "dispatch"};
    String[] zones = {"leinster-a", "leinster-b", "leinster-a"};
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < services.length; i++) {
      Machine machine =
          lab.add(new Machine(lab, "m" + i, lab.ip(i + 1), zones[i], services[i], "6"));
      machine.start();
      machines.add(machine);
    }
    Backend.Behaviour serves = (request, out) -> {
      Thread.sleep(WORK_MILLIS);
      return Backend.ok(request, out, new byte[400]);
    };
    for (int i = 1; i < machines.size(); i++) {
      lab.add(new Backend(lab, machines.get(i), "i-" + i, System.currentTimeMillis(), 13, serves));
    }
    for (Machine machine : machines) {
      machine.awaitReady();
    }
    int ahead = lab.trouble ? JUMP_MILLIS : 0;
    long firstBorn = System.currentTimeMillis() + ahead;
    Backend first = lab.add(new Backend(lab, machines.get(0), "i-0", firstBorn, 13, serves));
    lab.record("backend i-0 of m0 starts, born=" + firstBorn + "; clock of m0 ahead by " + ahead);
    Thread.sleep(FIRST_LIFE_MILLIS);
    first.close();
    lab.record("clock of m0 jumps back by " + ahead + " ms; backend i-0 ends");
    Thread.sleep(DOWN_MILLIS);
    long born = System.currentTimeMillis();
    Backend backend = lab.add(new Backend(lab, machines.get(0), "i-0", born, 13, serves));
    lab.record("backend i-0 of m0 starts again, born=" + born);
    Caller client = lab.add(new Caller(machines.get(2).ip, Machine.OUTBOUND_PORT, 3000));
    int sent = send(client, "before", CALM_MILLIS);
    lab.record("requests sent by the client of m2: " + sent + ", run by i-0 since its second start: "
        + backend.ran.size());
    backend.state = "draining";
    int status = backend.report();
    long acknowledgedAt = lab.millis();
    lab.record("report of i-0 that it is draining: answered " + status);
    if (status != 200) {
      throw new IllegalStateException("the report was not acknowledged");
    }
    sent = send(client, "after", SERVES_ON_MILLIS);
    List<Backend.Request> late = backend.ran.stream()
        .filter(request -> request.atMillis() > acknowledgedAt + DRAIN_MILLIS)
        .toList();
    late.forEach(request -> lab.record("i-0 runs " + request.id() + " "
        + (request.atMillis() - acknowledgedAt) + " ms after the acknowledgement"));
    lab.record("requests sent after that: " + sent + "; run by i-0 later than " + DRAIN_MILLIS
        + " ms after the acknowledgement: " + late.size() + ", one breaks DRAIN");
    return late.isEmpty();
  }

  /** Sends requests one after the other and returns their number. */
  private static int send(Caller client, String name, int millis) throws Exception {
    long end = System.nanoTime() + millis * 1_000_000L;
    int sent = 0;
    while (System.nanoTime() < end) {
      client.send(Caller.head("GET", "/stock/1", name + "-" + sent, DEADLINE_MILLIS, ""));
      client.read();
      sent++;
      Thread.sleep(MILLIS_BETWEEN_REQUESTS);
    }
    return sent;
  }
}
