import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case: some clients of one machine send requests ahead whose path has very many short segments,
 * while ordinary clients of the machine send bookings.
 */
final class ManySegments {

  private static final int CROWD = 40;

  /** Requests that each client of the crowd sends ahead. */
  private static final int AHEAD = 30;

  /** With its headers, a request is smaller than max_header_bytes, which is 16,384. */
  private static final int SEGMENTS = 15_000;

  private static final int ORDINARY_CLIENTS = 12;
  private static final int WORK_MILLIS = 40;
  private static final int OBSERVED_SECONDS = 20;

  private ManySegments() {}

  public static void main(String[] args) throws IOException {
    Lab.run(Path.of(args[0]), ManySegments::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Store store = lab.add(new Store(lab.storeIp));
    store.put("keyed.op", "config",
        Store.configuration(7, BookingClient.route(), "bookings", "dispatch"));
    List<Machine> machines = new ArrayList<>();
    String[] zones = {"leinster-a", "munster-a", "leinster-b"};
    for (int i = 0; i < zones.length; i++) {
      Machine machine =
          lab.add(new Machine(lab, "m" + i, lab.ip(i + 1), zones[i], "bookings", "6"));
      machine.start();
      machines.add(machine);
      lab.add(new Backend(lab, machine, "i-" + i, 1_700_000_000_000L + i, 13, (request, out) -> {
        Thread.sleep(WORK_MILLIS);
        return Backend.ok(request, out, new byte[1500]);
      }));
    }
    for (Machine machine : machines) {
      machine.awaitReady();
    }
    Thread.sleep(4000);
    Machine crowded = machines.get(0);
    List<BookingClient> clients = new ArrayList<>();
    for (int i = 0; i < ORDINARY_CLIENTS; i++) {
      clients.add(new BookingClient(crowded, i));
      Store.daemon(clients.get(i)).start();
    }
    Thread.sleep(3000);
    lab.record("before the crowd: " + BookingClient.summary(machines, clients));
    String segments = (lab.trouble ? "/" : "x").repeat(SEGMENTS);
    for (int i = 0; i < CROWD; i++) {
      String name = "crowd" + i;
      Store.daemon(() -> sendAhead(crowded, name, "/venues/" + segments)).start();
    }
    for (int second = 1; second <= OBSERVED_SECONDS; second++) {
      Thread.sleep(1000);
      if (second % 4 == 0) {
        lab.record(second + " s after: " + BookingClient.summary(machines, clients));
      }
    }
    lab.record("process alive=" + crowded.isAlive() + " readiness="
        + Caller.status(crowded.ip, Machine.READY_PORT, "/cuminlatch/readyz"));
    clients.forEach(client -> client.stop = true);
    return BookingClient.isConfigKept(lab, clients);
  }

  /** Sends requests for a path without a route, and reads their answers. */
  private static void sendAhead(Machine machine, String name, String path) {
    try (Caller caller = new Caller(machine.ip, Machine.OUTBOUND_PORT, 30_000)) {
      for (int i = 0; i < AHEAD; i++) {
        caller.send(Caller.head("GET", path, name + "-" + i, 1500, ""));
      }
      for (int i = 0; i < AHEAD; i++) {
        caller.read();
      }
    } catch (IOException closed) {
      // the node may refuse such a client
    }
  }
}
