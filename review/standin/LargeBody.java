import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one machine send bodies far below max_body_bytes, many at once or one after the other.
 * All requests, of these and of other clients, must be answered or ended by their route's timeout_s.
 */
public final class LargeBody {

  private static final int CLIENTS = 34;
  private static final int BODY_BYTES = 4 << 20;
  private static final int PIECES = 64;
  private static final int SMALL_CLIENTS = 12;
  private static final int SEND_MILLIS = 4000;
  private static final int SMALL_DEADLINE_MILLIS = 1000;
  private static final int LARGE_DEADLINE_MILLIS = 1200;
  private static final long SLACK_MILLIS = 500;

  /** What became of a request: the time until its answer or the end of its connection. */
  private record End(long millis, String outcome) {}

  private LargeBody() {}

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
    bed.store.put(
        "keyed.op",
        "config",
        Bed.configuration(
            3,
            List.of(
                Bed.route("/spec/", "idempotent", "siparis", 1.0, 0.25),
                Bed.route("/order/", "non_idempotent", "siparis", 1.2, 0.3)),
            List.of("siparis")));
    Bed.Machine machine = bed.new Machine("side-a-1", "a", "east", "siparis", door.port());
    machine.start();
    bed.new App(machine, "i-1", 6, 100);
    machine.awaitReady(20_000);
    machine.awaitServed("/spec/w/5", 20_000);

    List<End> small = Collections.synchronizedList(new ArrayList<>());
    List<End> large = Collections.synchronizedList(new ArrayList<>());
    List<Thread> threads = new ArrayList<>();
    long end = System.currentTimeMillis() + 25_000;
    for (int client = 0; client < SMALL_CLIENTS; client++) {
      Thread thread = new Thread(() -> small(bed, machine, end, small));
      thread.start();
      threads.add(thread);
    }
    Bed.pause(3000);
    Semaphore turns = new Semaphore(bed.trouble ? CLIENTS : 1);
    for (int client = 0; client < CLIENTS; client++) {
      Thread thread =
          new Thread(
              () -> {
                turns.acquireUninterruptibly();
                try {
                  large.add(large(bed, machine, bed.trouble ? SEND_MILLIS : 100));
                } finally {
                  turns.release();
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    long smallLate =
        small.stream().filter(e -> e.millis() > SMALL_DEADLINE_MILLIS + SLACK_MILLIS).count();
    long smallAtTimeout = small.stream().filter(e -> e.millis() > SMALL_DEADLINE_MILLIS).count();
    long largeLate =
        large.stream().filter(e -> e.millis() > LARGE_DEADLINE_MILLIS + SLACK_MILLIS).count();
    long largeAtTimeout = large.stream().filter(e -> e.millis() > LARGE_DEADLINE_MILLIS).count();
    long longest = small.stream().mapToLong(End::millis).max().orElse(0);
    bed.note(
        "small requests " + small.size() + ", unanswered at timeout_s " + smallAtTimeout
            + ", of these 0.5 s later still " + smallLate + ", longest " + longest + " ms");
    bed.note(
        "large requests " + large.size() + ", unanswered at timeout_s " + largeAtTimeout
            + ", of these 0.5 s later still " + largeLate + ", answered 200 "
            + large.stream().filter(e -> e.outcome().startsWith("200")).count());
    long late = smallLate + largeLate;
    long atTimeout = smallAtTimeout + largeAtTimeout;
    return late >= 8 && late * 2 > atTimeout ? 1 : 0;
  }

  private static void small(Bed bed, Bed.Machine machine, long end, List<End> ends) {
    while (System.currentTimeMillis() < end) {
      String id = bed.newId();
      long start = System.currentTimeMillis();
      String outcome;
      try {
        Http.Message answer =
            machine.call("GET", "/spec/w/30", id, SMALL_DEADLINE_MILLIS, new byte[0], 12_000);
        outcome = answer.status() + " after " + (System.currentTimeMillis() - start);
      } catch (IOException failed) {
        outcome = failed + " after " + (System.currentTimeMillis() - start);
      }
      ends.add(new End(System.currentTimeMillis() - start, outcome));
      bed.recordOnly("small " + id + " " + outcome);
      Bed.pause(50);
    }
  }

  /** Sends a body in pieces over some time; the time counts from its last byte. */
  private static End large(Bed bed, Bed.Machine machine, int sendMillis) {
    String id = bed.newId();
    long sentAt = 0;
    String outcome;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", machine.callers), 1000);
      socket.setSoTimeout(12_000);
      OutputStream out = socket.getOutputStream();
      out.write(
          Http.head(
              "POST",
              "/order/w/78",
              Map.of(
                  "Host", "shop.example",
                  "X-Cuminlatch-Request-Id", id,
                  "X-Cuminlatch-Deadline-Ms", String.valueOf(LARGE_DEADLINE_MILLIS)),
              BODY_BYTES));
      byte[] piece = new byte[BODY_BYTES / PIECES];
      for (int i = 0; i < PIECES; i++) {
        out.write(piece);
        Bed.pause(sendMillis / PIECES);
      }
      sentAt = System.currentTimeMillis();
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
      outcome = answer.status() + " after " + (System.currentTimeMillis() - sentAt);
    } catch (IOException failed) {
      outcome = failed + " after " + (sentAt == 0 ? "-" : System.currentTimeMillis() - sentAt);
    }
    bed.recordOnly("large " + id + " " + outcome);
    return new End(sentAt == 0 ? 0 : System.currentTimeMillis() - sentAt, outcome);
  }
}
