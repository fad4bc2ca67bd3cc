import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: clients of one machine ask for layouts and stop reading, while ordinary clients of the same
 * machine send requests on kept connections and read their answers at once.
 */
final class SlowReaders {

  /** Clients that stop reading; a node accepts 1,950 connections. */
  private static final int SLOW_CLIENTS = 600;

  /** Layouts of the site have 280 KB in the mean and at most 1.7 MB. */
  private static final int SLOW_LAYOUT_BYTES = 430_000;

  private static final int LAYOUT_BYTES = 280_000;
  private static final int SMALL_ANSWER_BYTES = 400;

  /** Maximum segment size of an Ethernet network. */
  private static final int SEGMENT_BYTES = 1400;

  private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
  private static final int MILLIS_BETWEEN_SLOW_CLIENTS = 15;

  /** Time without reading after the last slow client has come; a node closes them after 15 s. */
  private static final int PAUSE_SECONDS = 6;

  private static final int ORDINARY_CLIENTS = 24;
  private static final int DEADLINE_MILLIS = 1200;
  private static final int WORK_MILLIS = 30;

  /** Requests that LOST allows to be cut. */
  private static final int MAX_LOST = 3;

  private SlowReaders() {}

  public static void main(String[] args) throws IOException {
    Lab.run(Path.of(args[0]), SlowReaders::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Store store = lab.add(new Store(lab.storeIp));
    store.put("keyed.op", "config", Store.configuration(7,
        Store.route("layout", "download", "dispatch", 1.2, 0.3, 2) + ","
            + Store.route("deposit", "non_idempotent", "dispatch", 1, 0.25, 2) + ","
            + Store.route("stock", "idempotent", "bookings", 1.2, 0.3, 2),
        "bookings", "dispatch"));
    String[] services = {"bookings", "bookings", "dispatch", "dispatch"};
    String[] zones = {"leinster-a", "munster-a", "leinster-a", "munster-a"};
    List<Machine> machines = new ArrayList<>();
    Set<String> ran = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < services.length; i++) {
      Machine machine =
          lab.add(new Machine(lab, "m" + i, lab.ip(i + 1), zones[i], services[i], "6"));
      machine.start();
      machines.add(machine);
      lab.add(new Backend(lab, machine, "i-" + i, 1_700_000_000_000L + i, 13, (request, out) -> {
        ran.add(request.id());
        Thread.sleep(WORK_MILLIS);
        return Backend.ok(request, out, new byte[answerBytes(request)]);
      }));
    }
    for (Machine machine : machines) {
      machine.awaitReady();
    }
    Thread.sleep(4000);
    Machine entry = machines.get(0);
    List<Ordinary> ordinary = new ArrayList<>();
    for (int i = 0; i < ORDINARY_CLIENTS; i++) {
      ordinary.add(new Ordinary(lab, entry.ip, i, ran));
      Store.daemon(ordinary.get(i)).start();
    }
    Thread.sleep(3000);
    lab.record("the slow clients come");
    List<SocketChannel> slow = new ArrayList<>();
    for (int i = 0; i < SLOW_CLIENTS; i++) {
      SocketChannel channel = request(entry, "slow" + i);
      slow.add(channel);
      if (!lab.trouble) {
        Store.daemon(() -> readAll(channel)).start();
      }
      Thread.sleep(MILLIS_BETWEEN_SLOW_CLIENTS);
    }
    lab.record(SLOW_CLIENTS + " slow clients have asked for a layout; ordinary clients: "
        + summary(ordinary));
    for (int second = 0; second < PAUSE_SECONDS; second++) {
      Thread.sleep(1000);
    }
    boolean alive = entry.isAlive();
    lab.record("node of " + entry.name + ": alive=" + alive + " residentMb="
        + (alive ? entry.residentMb() : -1));
    ordinary.forEach(client -> client.stop = true);
    Thread.sleep(2500);
    for (SocketChannel channel : slow) {
      channel.close();
    }
    for (String event : List.of("link-lost", "node-behind")) {
      lab.record("lines " + event + " in the log of " + entry.name + ": "
          + entry.logLines("\"event\":\"" + event + "\"").size());
    }
    int lost = ordinary.stream().mapToInt(client -> client.lost.get()).sum();
    lab.record("answers to ordinary clients: " + summary(ordinary));
    lab.record("requests of kept connections that a backend ran and whose connection was closed"
        + " without a whole answer: " + lost + "; more than " + MAX_LOST + " break LOST");
    return alive && lost <= MAX_LOST;
  }

  private static int answerBytes(Backend.Request request) {
    if (!request.target().startsWith("/layout/")) {
      return SMALL_ANSWER_BYTES;
    }
    return request.id().startsWith("slow") ? SLOW_LAYOUT_BYTES : LAYOUT_BYTES;
  }

  private static String summary(List<Ordinary> clients) {
    TreeMap<String, Integer> all = new TreeMap<>();
    for (Ordinary client : clients) {
      client.results.forEach((result, count) -> all.merge(result, count.get(), Integer::sum));
    }
    return all.toString();
  }

  /** Sends the request of a slow client on a connection with segments of an ordinary network. */
  private static SocketChannel request(Machine entry, String id) throws Exception {
    SocketChannel channel = SocketChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      SmallSegments.set(channel, SEGMENT_BYTES);
      channel.connect(new InetSocketAddress(entry.ip, Machine.OUTBOUND_PORT));
      channel.write(ByteBuffer.wrap(Backend.ascii(
          Caller.head("GET", "/layout/1", id, DEADLINE_MILLIS, ""))));
    } catch (IOException refused) {
      channel.close();
    } catch (Throwable notSet) {
      throw new IllegalStateException(notSet);
    }
    return channel;
  }

  private static void readAll(SocketChannel channel) {
    try {
      ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
      while (channel.read(buffer) >= 0) {
        buffer.clear();
      }
    } catch (IOException closed) {
      // the end of the case, or the node has closed the connection
    }
  }

  /** A client that sends one request after the other on a kept connection. */
  private static final class Ordinary implements Runnable {

    private static final String[] KINDS = {"layout", "deposit", "layout", "stock"};

    private final Lab lab;
    private final String ip;
    private final int number;
    private final Set<String> ran;
    final ConcurrentHashMap<String, AtomicInteger> results = new ConcurrentHashMap<>();
    final AtomicInteger lost = new AtomicInteger();
    volatile boolean stop;

    Ordinary(Lab lab, String ip, int number, Set<String> ran) {
      this.lab = lab;
      this.ip = ip;
      this.number = number;
      this.ran = ran;
    }

    @Override
    public void run() {
      Caller connection = null;
      int sent = 0;
      int sentHere = 0;
      while (!stop) {
        String id = "ord-" + number + "-" + sent++;
        String kind = KINDS[(sent + number) % KINDS.length];
        boolean deposit = kind.equals("deposit");
        String result;
        try {
          if (connection == null) {
            connection = new Caller(ip, Machine.OUTBOUND_PORT, DEADLINE_MILLIS + 800);
            sentHere = 0;
          }
          sentHere++;
          connection.send(Caller.head(deposit ? "POST" : "GET", "/" + kind + "/1",
              id, DEADLINE_MILLIS, deposit ? "Content-Length: 0\r\n" : ""));
          Caller.Answer answer = connection.read();
          result = answer.status() == 0 || !answer.complete() ? "closed" : "" + answer.status();
          if (result.equals("closed") || "close".equals(answer.headers().get("connection"))) {
            connection.close();
            connection = null;
          }
        } catch (SocketTimeoutException late) {
          result = "silent";
          connection = close(connection);
        } catch (IOException broken) {
          result = connection == null ? "not connected" : "closed";
          connection = close(connection);
        }
        if (result.equals("closed")) {
          boolean hasRun = ran.contains(id);
          lab.record(id + " (" + kind + "): connection closed without a whole answer, run=" + hasRun
              + ", request " + sentHere + " of its connection");
          if (hasRun && sentHere > 1) {
            lost.incrementAndGet();
          }
        }
        results.computeIfAbsent(result, unused -> new AtomicInteger()).incrementAndGet();
        try {
          Thread.sleep(60);
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
  }
}
