import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case: one client asks for a document that is a log of status lines, while ordinary clients send
 * bookings on all machines.
 */
final class LongScan {

  /** Largest answer of the site. */
  private static final int DOCUMENT_BYTES = 1_700_000;

  /** Ordinary clients of each machine. */
  private static final int CLIENTS = 6;

  private static final int WORK_MILLIS = 40;
  private static final int OBSERVED_SECONDS = 20;

  private LongScan() {}

  public static void main(String[] args) throws IOException {
    Lab.run(Path.of(args[0]), LongScan::holds);
  }

  /** Returns a log of JSON lines; without the disruption, it names the protocol otherwise. */
  private static byte[] document(boolean trouble) {
    String protocol = trouble ? "HTTP/1.1" : "HTTP-1.1";
    StringBuilder text = new StringBuilder(DOCUMENT_BYTES);
    for (int i = 0; text.length() < DOCUMENT_BYTES - 100; i++) {
      text.append("{\"n\":").append(1_000_000 + i).append(",\"answer\":\"").append(protocol)
          .append(" 200 OK\"}\r\n");
    }
    return Backend.ascii(text.append("end of the log\r\n").toString());
  }

  private static boolean holds(Lab lab) throws Exception {
    Store store = lab.add(new Store(lab.storeIp));
    store.put("keyed.op", "config", Store.configuration(7,
        Store.route("layout", "download", "dispatch", 1.2, 0.3, 2) + ","
            + BookingClient.route(),
        "bookings", "dispatch"));
    String[] services = {"bookings", "bookings", "dispatch", "dispatch"};
    String[] zones = {"leinster-a", "munster-a", "leinster-b", "munster-b"};
    byte[] document = document(lab.trouble);
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < services.length; i++) {
      Machine machine =
          lab.add(new Machine(lab, "m" + i, lab.ip(i + 1), zones[i], services[i], "6"));
      machine.start();
      machines.add(machine);
      lab.add(new Backend(lab, machine, "i-" + i, 1_700_000_000_000L + i, 13, (request, out) -> {
        Thread.sleep(WORK_MILLIS);
        boolean isDocument = request.target().startsWith("/layout/");
        if (isDocument) {
          lab.record("a backend of " + machine.name + " runs " + request.id());
        }
        return Backend.ok(request, out, isDocument ? document : new byte[1500]);
      }));
    }
    for (Machine machine : machines) {
      machine.awaitReady();
    }
    Thread.sleep(4000);
    List<BookingClient> clients = new ArrayList<>();
    for (Machine machine : machines) {
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(new BookingClient(machine, i));
        Store.daemon(clients.get(clients.size() - 1)).start();
      }
    }
    Thread.sleep(3000);
    lab.record("before the document: " + BookingClient.summary(machines, clients));
    Thread reader = Store.daemon(() -> ask(lab, machines.get(0), document));
    reader.start();
    for (int second = 1; second <= OBSERVED_SECONDS; second++) {
      Thread.sleep(1000);
      if (second % 4 == 0) {
        lab.record(second + " s after: " + BookingClient.summary(machines, clients));
      }
    }
    StringBuilder ready = new StringBuilder();
    for (Machine machine : machines) {
      ready.append(' ').append(machine.name).append('=')
          .append(Caller.status(machine.ip, Machine.READY_PORT, "/cuminlatch/readyz"));
    }
    lab.record("readiness:" + ready);
    clients.forEach(client -> client.stop = true);
    return BookingClient.isConfigKept(lab, clients);
  }

  private static void ask(Lab lab, Machine machine, byte[] document) {
    try {
      long start = lab.millis();
      Caller.Answer answer = Caller.call(machine.ip,
          Caller.head("GET", "/layout/log", "document-1", 1200, ""), 5000);
      lab.record("the document: status " + answer.status() + ", body as sent: "
          + java.util.Arrays.equals(answer.body(), document) + ", after " + (lab.millis() - start)
          + " ms");
    } catch (IOException broken) {
      lab.record("the document: " + broken);
    }
  }
}
