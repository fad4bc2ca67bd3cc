import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Case: a backend crashes while it answers a request without a length, before it has read the
 * request's body to its end.
 */
final class HalfAnswer {

  /** Backends of the service, as on the site; one of them crashes in each round. */
  private static final int BACKENDS = 4;

  private static final int ROUNDS = 4;
  private static final int BODY_BYTES = 8 << 20;
  private static final int DEADLINE_MILLIS = 2500;
  private static final int MILLIS_UNTIL_CRASH = 150;

  private HalfAnswer() {}

  public static void main(String[] args) throws IOException {
    Lab.run(Path.of(args[0]), HalfAnswer::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Store store = lab.add(new Store(lab.storeIp));
    store.put("keyed.op", "config", Store.configuration(7,
        Store.route("sheet", "non_idempotent", "dispatch", 2.5, 1, 2), "bookings", "dispatch"));
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i <= BACKENDS; i++) {
      String service = i == 0 ? "bookings" : "dispatch";
      String zone = i % 2 == 0 ? "leinster-a" : "leinster-b";
      Machine machine = lab.add(new Machine(lab, "m" + i, lab.ip(i + 1), zone, service, "6"));
      machine.start();
      machines.add(machine);
    }
    Machine entry = machines.get(0);
    lab.add(new Backend(lab, entry, "i-0", System.currentTimeMillis(), 13,
        (request, out) -> Backend.ok(request, out, new byte[4])));
    Process[] backends = new Process[BACKENDS];
    for (int i = 0; i < BACKENDS; i++) {
      machines.get(i + 1).awaitReady();
      backends[i] = start(lab, machines.get(i + 1), "i-" + (i + 1) + "-0");
    }
    Thread.sleep(4000);
    int wrong = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      int current = round;
      lab.await("requests are served", 20, () -> isServed(entry, current));
      wrong += send(lab, entry, backends, "sheet-" + round) ? 0 : 1;
      Thread.sleep(1000);
      for (int i = 0; i < BACKENDS; i++) {
        if (!backends[i].isAlive()) {
          backends[i] = start(lab, machines.get(i + 1), "i-" + (i + 1) + "-" + round);
        }
      }
      Thread.sleep(2000);
    }
    lab.record("successes with a part of the backend's body: " + wrong + " of " + ROUNDS
        + ", one breaks MIXED");
    return wrong == 0;
  }

  private static Process start(Lab lab, Machine machine, String id) throws IOException {
    Process backend = new ProcessBuilder(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m", "-cp",
        System.getProperty("java.class.path"), "BackendProcess", machine.ip, machine.service, id,
        Long.toString(System.currentTimeMillis()))
        .redirectError(ProcessBuilder.Redirect.DISCARD)
        .start();
    lab.add(() -> backend.destroyForcibly());
    lab.record("backend " + id + " started, pid " + backend.pid());
    return backend;
  }

  private static boolean isServed(Machine entry, int round) throws IOException {
    String id = "small-" + round + "-" + System.nanoTime();
    return Caller.call(entry.ip, Caller.head("POST", "/sheet/1", id, 1000,
        "Content-Length: 0\r\nConnection: close\r\n"), 3000).status() == 200;
  }

  /** Sends a request with a large body; returns false if a part of the answer looks whole. */
  private static boolean send(Lab lab, Machine entry, Process[] backends, String id)
      throws Exception {
    try (Caller caller = new Caller(entry.ip, Machine.OUTBOUND_PORT, DEADLINE_MILLIS + 2000)) {
      Store.daemon(() -> sendBody(caller, id)).start();
      Thread killer = Store.daemon(() -> watch(lab, backends));
      killer.start();
      Caller.Answer answer = caller.read();
      boolean whole = Arrays.equals(answer.body(), BackendProcess.answer(id));
      lab.record(id + ": status " + answer.status() + ", Content-Length "
          + answer.headers().get("content-length") + ", stamp "
          + answer.headers().get("x-cuminlatch-server-stamp") + ", complete=" + answer.complete()
          + ", bytes " + answer.body().length + ", the backend's whole body=" + whole);
      killer.join(3000);
      return answer.status() != 200 || !answer.complete() || whole;
    } catch (IOException closed) {
      lab.record(id + ": " + closed);
      return true;
    }
  }

  private static void sendBody(Caller caller, String id) {
    try {
      caller.send(Caller.head("POST", "/sheet/1", id, DEADLINE_MILLIS,
          "Content-Length: " + BODY_BYTES + "\r\n"));
      byte[] part = new byte[1 << 16];
      for (int sent = 0; sent < BODY_BYTES; sent += part.length) {
        caller.socket.getOutputStream().write(part);
      }
    } catch (IOException answeredEarly) {
      // the node has answered and closed the connection
    }
  }

  /** Kills the backend that has sent the first half of its answer, soon after that. */
  private static void watch(Lab lab, Process[] backends) {
    try {
      Process serving = null;
      long end = System.nanoTime() + DEADLINE_MILLIS * 1_000_000L;
      while (serving == null && System.nanoTime() < end) {
        for (Process backend : backends) {
          serving = backend.getInputStream().available() > 0 ? backend : serving;
        }
        Thread.sleep(5);
      }
      if (serving == null) {
        lab.record("no backend has begun to answer");
        return;
      }
      BufferedReader lines = new BufferedReader(new InputStreamReader(serving.getInputStream()));
      lab.record("backend " + serving.pid() + ": " + lines.readLine());
      if (lab.trouble) {
        Thread.sleep(MILLIS_UNTIL_CRASH);
        new ProcessBuilder(List.of("kill", "-KILL", Long.toString(serving.pid()))).start().waitFor();
        serving.waitFor();
        lab.record("backend " + serving.pid() + " is killed");
      } else {
        lab.record("backend " + serving.pid() + ": " + lines.readLine());
      }
    } catch (IOException | InterruptedException ended) {
      lab.record("backend: " + ended);
    }
  }
}
