import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: clients that send two requests at once on a kept connection while the node of their
 * machine gets SIGTERM.
 */
final class PlannedStop {

  private static final int CLIENTS = 12;
  private static final int ROUNDS = 60;
  private static final int WORK_MILLIS = 300;
  private static final int DEADLINE_MILLIS = 1200;

  /** Bound {@code lost_slack_s} of the site. */
  private static final int LOST_SLACK_MILLIS = 200;

  /** Time of the SIGTERM. */
  private static volatile long stoppedAt = Long.MAX_VALUE;

  private PlannedStop() {}

  public static void main(String[] args) throws IOException {
    Lab.run(Path.of(args[0]), PlannedStop::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Store store = lab.add(new Store(lab.storeIp));
    store.put("keyed.op", "config", Store.configuration(7,
        Store.route("book", "non_idempotent", "bookings", 1.2, 0.8, 2) + ","
            + Store.route("stock", "idempotent", "bookings", 1.2, 0.8, 2), "bookings"));
    List<Machine> machines = new ArrayList<>();
    Set<String> ran = ConcurrentHashMap.newKeySet();
    String[] zones = {"leinster-a", "munster-a", "leinster-b"};
    for (int i = 0; i < zones.length; i++) {
      Machine machine =
          lab.add(new Machine(lab, "m" + i, lab.ip(i + 1), zones[i], "bookings", "6"));
      machine.start();
      machines.add(machine);
      lab.add(new Backend(lab, machine, "i-" + i, 1_700_000_000_000L + i, 13, (request, out) -> {
        ran.add(request.id());
        Thread.sleep(WORK_MILLIS);
        return Backend.ok(request, out, Backend.ascii(request.id()));
      }));
    }
    for (Machine machine : machines) {
      machine.awaitReady();
    }
    Thread.sleep(4000);
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(new Client(lab, machines.get(0), i, ran));
      Store.daemon(clients.get(i)).start();
      Thread.sleep(50);
    }
    Thread.sleep(2500);
    if (lab.trouble) {
      machines.get(0).signal("TERM");
      stoppedAt = lab.millis();
    }
    Thread.sleep(3000);
    clients.forEach(client -> client.stop = true);
    Thread.sleep(2500);
    TreeMap<String, Integer> results = new TreeMap<>();
    int lost = 0;
    for (Client client : clients) {
      client.results.forEach((result, count) -> results.merge(result, count, Integer::sum));
      lost += client.lost;
    }
    lab.record("results " + results);
    lab.record("requests that were sent before the SIGTERM and whose connection ended later than 0.2 s"
        + " after that without an answer: " + lost + ", one breaks LOST");
    return lost == 0;
  }

  /** Sends a booking and a lookup at once on a kept connection, and reads both answers. */
  private static final class Client implements Runnable {

    private final Lab lab;
    private final Machine entry;
    private final int number;
    private final Set<String> ran;
    final TreeMap<String, Integer> results = new TreeMap<>();
    volatile int lost;
    volatile boolean stop;

    Client(Lab lab, Machine entry, int number, Set<String> ran) {
      this.lab = lab;
      this.entry = entry;
      this.number = number;
      this.ran = ran;
    }

    @Override
    public void run() {
      Caller connection = null;
      for (int round = 0; round < ROUNDS && !stop; round++) {
        String first = "book-" + number + "-" + round;
        String second = "stock-" + number + "-" + round;
        long sentAt = 0;
        int answered = 0;
        try {
          if (connection == null) {
            connection = new Caller(entry.ip, Machine.OUTBOUND_PORT, 4000);
          }
          connection.send(
              Caller.head("POST", "/book/1", first, DEADLINE_MILLIS, "Content-Length: 0\r\n")
                  + Caller.head("GET", "/stock/1", second, DEADLINE_MILLIS, ""));
          sentAt = lab.millis();
          boolean kept = true;
          for (; answered < 2; answered++) {
            Caller.Answer answer = connection.read();
            if (answer.status() == 0 || !answer.complete()) {
              throw new IOException("connection ended");
            }
            results.merge("" + answer.status(), 1, Integer::sum);
            kept = !"close".equals(answer.headers().get("connection"));
          }
          if (!kept) {
            connection.close();
            connection = null;
          }
        } catch (IOException ended) {
          if (sentAt == 0) {
            return; // the process has ended
          }
          long after = lab.millis() - sentAt;
          results.merge("ended without an answer", 2 - answered, Integer::sum);
          boolean sentBefore = sentAt < stoppedAt;
          lab.record((answered == 0 ? first + " and " : "") + second + " sent at " + sentAt
              + ", connection ended after " + after + " ms without an answer; answers before: "
              + answered + ", run: " + ran.contains(first) + " " + ran.contains(second)
              + (sentBefore ? ", sent before the SIGTERM" : ""));
          lost += sentBefore && after > LOST_SLACK_MILLIS ? 2 - answered : 0;
          connection = null;
        }
      }
    }
  }
}
