import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend deregisters while the store turns its machine away; the node acknowledges. The node is
 * killed and started again. The backend must get no request later than drain_s after that.
 */
public final class LeaveLost {

  private static final long DRAIN_MILLIS = 2000;
  private static final long STABLE_WINDOW_MILLIS = 3000;

  private LeaveLost() {}

  public static void main(String[] args) throws Exception {
    int end = 2;
    try (Bed bed = new Bed(Path.of(args[0]))) {
      end = run(bed);
    } catch (Bed.CannotRun reason) {
      System.out.println("could not run: " + reason.getMessage());
    }
    System.exit(end);
  }

  private static int run(Bed bed) throws Exception {
    Store.Door door = bed.store.open();
    Store.Door doorOfLeaver = bed.store.open();
    bed.store.put(
        "keyed.op",
        "config",
        Bed.configuration(
            3,
            List.of(Bed.route("/reg/", "non_idempotent", "saha", 0.8, 0.2)),
            List.of("saha", "siparis")));
    Bed.Machine entry = bed.new Machine("side-a-1", "a", "east", "siparis", door.port());
    Bed.Machine leaver = bed.new Machine("side-a-2", "a", "east", "saha", doorOfLeaver.port());
    Bed.Machine other = bed.new Machine("side-a-3", "a", "east", "saha", door.port());
    entry.start();
    leaver.start();
    other.start();
    bed.new App(entry, "i-entry", 6, 100);
    Bed.App leaving = bed.new App(leaver, "i-leaver", 6, 100);
    Bed.App staying = bed.new App(other, "i-stays", 6, 100);
    for (Bed.Machine machine : List.of(entry, leaver, other)) {
      machine.awaitReady(20_000);
    }
    entry.awaitServed("/reg/w/20", 20_000);
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    Thread traffic = new Thread(() -> traffic(bed, entry, sent, served));
    traffic.setDaemon(true);
    traffic.start();
    Bed.pause(5000);
    if (leaving.timeOf("run") == 0 || staying.timeOf("run") == 0) {
      throw new Bed.CannotRun("not both backends get requests before the disruption");
    }

    if (bed.trouble) {
      doorOfLeaver.busy = true;
      bed.note("the store turns side-a-2 away (503)");
      Bed.pause(500);
    }
    leaving.say("deregister");
    long end = System.currentTimeMillis() + 5000;
    while (leaving.timeOf("deregister 200") == 0 && System.currentTimeMillis() < end) {
      Bed.pause(20);
    }
    long acknowledged = leaving.timeOf("deregister 200");
    if (acknowledged == 0) {
      bed.note("the leaving was not acknowledged within 5 s");
      return 0; // nothing was promised
    }
    bed.note("side-a-2 has acknowledged that i-leaver leaves");
    if (bed.trouble) {
      Bed.pause(500);
      bed.signal(leaver.node, "KILL");
      leaver.node.waitFor();
      bed.note("node side-a-2 is killed");
      doorOfLeaver.busy = false;
      bed.note("the store serves side-a-2 again");
      Bed.pause(1000);
      leaver.start();
    }
    long restarted = System.currentTimeMillis();
    Bed.pause(10_000);
    long from =
        Math.max(acknowledged + DRAIN_MILLIS, bed.trouble ? restarted + STABLE_WINDOW_MILLIS : 0);
    long late = runsAfter(leaving, from);
    bed.note("requests sent " + sent + ", answered 200: " + served);
    bed.note("requests run by i-leaver after " + (from - acknowledged) + " ms: " + late);
    return late > 0 ? 1 : 0;
  }

  private static long runsAfter(Bed.App app, long time) {
    synchronized (app.lines) {
      return app.lines.stream()
          .filter(line -> line.contains(" run "))
          .filter(line -> Long.parseLong(line.substring(0, line.indexOf(' '))) > time)
          .count();
    }
  }

  private static void traffic(
      Bed bed, Bed.Machine entry, AtomicInteger sent, AtomicInteger served) {
    while (true) {
      String id = bed.newId();
      sent.incrementAndGet();
      try {
        Http.Message answer = entry.call("POST", "/reg/w/20", id, 800, new byte[10], 2000);
        bed.recordOnly("client " + id + " got " + answer.status());
        if (answer.status() == 200) {
          served.incrementAndGet();
        }
      } catch (IOException failed) {
        bed.recordOnly("client " + id + " got no answer: " + failed.getMessage());
      }
      Bed.pause(25);
    }
  }
}
