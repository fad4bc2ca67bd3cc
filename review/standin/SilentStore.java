import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The open connections to the store go silent, new ones work. A configuration that is acknowledged
 * later must be in force in time.
 */
public final class SilentStore {

  private static final long CONFIG_APPLY_MILLIS = 2000;
  private static final long STABLE_WINDOW_MILLIS = 3000;
  private static final long MAX_STRETCH_MILLIS = 5000;

  private SilentStore() {}

  private record Call(long sentAt, String machine, String path, String outcome) {}

  public static void main(String[] args) throws Exception {
    int end = 2;
    try (Bed bed = new Bed(Path.of(args[0]))) {
      end = run(bed);
    } catch (Bed.CannotRun reason) {
      System.out.println("could not run: " + reason.getMessage());
    }
    System.exit(end);
  }

  private static String routes(int version, String moved, boolean dropped) {
    List<String> routes = new ArrayList<>();
    routes.add(Bed.route("/moved/", "idempotent", moved, 1.0, 0.25));
    if (!dropped) {
      routes.add(Bed.route("/dropped/", "non_idempotent", "siparis", 1.2, 0.3));
    }
    return Bed.configuration(version, routes, List.of("saha", "siparis"));
  }

  private static int run(Bed bed) throws Exception {
    Store.Door door = bed.store.open();
    bed.store.put("keyed.op", "config", routes(3, "siparis", false));
    List<Relay> relays = new ArrayList<>();
    List<Bed.Machine> machines = new ArrayList<>();
    String[][] places = {{"a", "east", "siparis"}, {"b", "west", "saha"}, {"b", "west", "siparis"}};
    for (String[] place : places) {
      Relay relay = new Relay(door.port());
      relays.add(relay);
      Bed.Machine machine =
          bed.new Machine(
              "side-" + place[0] + "-" + relays.size(), place[0], place[1], place[2], relay.port());
      machine.start();
      machines.add(machine);
      bed.new App(machine, "i-" + relays.size() + "-" + place[2], 6, 100);
    }
    for (Bed.Machine machine : machines) {
      machine.awaitReady(20_000);
      machine.awaitServed("/moved/w/5", 20_000);
    }
    Bed.pause(5000);
    bed.store.put("keyed.op", "config", routes(5, "siparis", false));
    bed.note("operator: r5 acknowledged, as r3");
    Bed.pause(1500);

    long silentAt = System.currentTimeMillis();
    if (bed.trouble) {
      int count = 0;
      for (Relay relay : relays) {
        count += relay.silence();
      }
      bed.note("open connections to the store go silent: " + count);
    }
    Bed.pause(500);
    bed.store.put("keyed.op", "config", routes(8, "saha", true));
    long acknowledged = System.currentTimeMillis();
    bed.note("operator: r8 acknowledged: /moved/ goes to saha, /dropped/ is gone");

    List<Call> calls = new ArrayList<>();
    long end = acknowledged + 13_000;
    while (System.currentTimeMillis() < end) {
      for (Bed.Machine machine : machines) {
        calls.add(call(bed, machine, "GET", "/moved/w/5"));
        calls.add(call(bed, machine, "POST", "/dropped/w/5"));
      }
      Bed.pause(50);
    }
    long from =
        Math.max(
            acknowledged + CONFIG_APPLY_MILLIS,
            bed.trouble ? silentAt + STABLE_WINDOW_MILLIS : 0);
    long late = calls.stream().filter(call -> call.sentAt() > from).filter(SilentStore::old).count();
    long stretched = acknowledged + CONFIG_APPLY_MILLIS + MAX_STRETCH_MILLIS;
    long later =
        calls.stream().filter(call -> call.sentAt() > stretched).filter(SilentStore::old).count();
    long last =
        calls.stream().filter(SilentStore::old).mapToLong(Call::sentAt).max().orElse(acknowledged);
    bed.note("requests: " + calls.size());
    bed.note("handled as r5 only allows, sent later than config_apply_s and in touch: " + late);
    bed.note("of these, sent even later than config_apply_s + max_stretch_s: " + later);
    bed.note("the last of them was sent " + (last - acknowledged) + " ms after the acknowledgement");
    return late > 0 ? 1 : 0;
  }

  /** Returns whether a call was handled as r3 and r5 allow and r8 doesn't. */
  private static boolean old(Call call) {
    return call.outcome().startsWith("200 i-") && call.outcome().endsWith("siparis");
  }

  private static Call call(Bed bed, Bed.Machine machine, String method, String path) {
    String id = bed.newId();
    long sentAt = System.currentTimeMillis();
    String outcome;
    try {
      Http.Message answer =
          machine.call(method, path, id, 1000, new byte[method.equals("POST") ? 10 : 0], 2000);
      String stamp = answer.header("X-Cuminlatch-Server-Stamp");
      int dot = stamp.indexOf('.');
      outcome = answer.status() + " " + (dot < 0 ? "-" : stamp.substring(0, dot));
    } catch (IOException failed) {
      outcome = "no answer: " + failed.getMessage();
    }
    bed.recordOnly("client at " + machine.name + " " + method + " " + path + ": " + outcome);
    return new Call(sentAt, machine.name, path, outcome);
  }
}
