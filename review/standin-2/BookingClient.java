import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends one booking after the other on a kept connection. */
final class BookingClient implements Runnable {

  /** Bookings of the site: clients wait for 1.5 s, the route allows 0.8 s. */
  private static final int DEADLINE_MILLIS = 1500;

  private static final double TIMEOUT_SECONDS = 0.8;

  /** Time after the route's timeout by which CONFIG asks for an answer. */
  private static final int GRACE_MILLIS = 500;

  /** Requests without an answer by then that CONFIG allows, if they are not over a half. */
  private static final int MIN_LATE = 8;

  final Machine machine;
  private final int number;
  final AtomicInteger answered = new AtomicInteger();
  final AtomicInteger timedOut = new AtomicInteger();
  final AtomicInteger late = new AtomicInteger();
  volatile boolean stop;

  BookingClient(Machine machine, int number) {
    this.machine = machine;
    this.number = number;
  }

  @Override
  public void run() {
    int timeoutMillis = (int) (TIMEOUT_SECONDS * 1000);
    Caller connection = null;
    for (int sent = 0; !stop; sent++) {
      long start = System.nanoTime();
      try {
        if (connection == null) {
          connection = new Caller(machine.ip, Machine.OUTBOUND_PORT, DEADLINE_MILLIS);
        }
        start = System.nanoTime();
        connection.socket.setSoTimeout(timeoutMillis + GRACE_MILLIS);
        connection.send(Caller.head("POST", "/book/1",
            "book-" + machine.name + "-" + number + "-" + sent, DEADLINE_MILLIS,
            "Content-Length: 0\r\n"));
        Caller.Answer answer = connection.read();
        long took = (System.nanoTime() - start) / 1_000_000;
        answered.incrementAndGet();
        timedOut.addAndGet(took > timeoutMillis ? 1 : 0);
        if (answer.status() == 0 || "close".equals(answer.headers().get("connection"))) {
          connection.close();
          connection = null;
        }
        Thread.sleep(100);
      } catch (SocketTimeoutException noAnswer) {
        timedOut.incrementAndGet();
        late.incrementAndGet();
        connection = close(connection);
      } catch (IOException broken) {
        connection = close(connection);
      } catch (InterruptedException ended) {
        return;
      }
    }
    close(connection);
  }

  private static Caller close(Caller connection) {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (IOException alreadyClosed) {
      // nothing is left to close
    }
    return null;
  }

  /** Returns the route of the bookings. */
  static String route() {
    return Store.route("book", "non_idempotent", "bookings", TIMEOUT_SECONDS, 0.4, 2);
  }

  static String summary(List<Machine> machines, List<BookingClient> clients) {
    StringBuilder text = new StringBuilder();
    for (Machine machine : machines) {
      int answered = 0;
      int late = 0;
      for (BookingClient client : clients) {
        answered += client.machine == machine ? client.answered.get() : 0;
        late += client.machine == machine ? client.late.get() : 0;
      }
      text.append(machine.name).append(" answered ").append(answered).append(" late ").append(late)
          .append("; ");
    }
    return text.toString();
  }

  /** Records and returns whether CONFIG was kept: requests are answered soon after the timeout. */
  static boolean isConfigKept(Lab lab, List<BookingClient> clients) {
    int timedOut = clients.stream().mapToInt(client -> client.timedOut.get()).sum();
    int late = clients.stream().mapToInt(client -> client.late.get()).sum();
    lab.record("bookings without an answer at their route's timeout: " + timedOut
        + "; of these without one " + GRACE_MILLIS + " ms later: " + late);
    lab.record("CONFIG is broken by " + MIN_LATE + " or more of them that are over a half");
    return late < MIN_LATE || late * 2 <= timedOut;
  }
}
