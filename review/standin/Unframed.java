import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * A backend crashes or falls silent in the middle of an answer without a length. The client must not
 * get the part that has been sent as a whole answer.
 */
public final class Unframed {

  private static final int ANSWER_BYTES = 300_000;
  private static final int REQUEST_BYTES = 8 << 20;
  private static final int ROUNDS = 3;

  private final Bed bed;
  private final Bed.Machine machine;
  private int broken;
  private int backends;

  private Unframed(Bed bed, Bed.Machine machine) {
    this.bed = bed;
    this.machine = machine;
  }

  public static void main(String[] args) throws Exception {
    int end = 2;
    try (Bed bed = new Bed(Path.of(args[0]))) {
      Store.Door door = bed.store.open();
      bed.store.put(
          "keyed.op",
          "config",
          Bed.configuration(
              3,
              List.of(
                  Bed.route("/pack/", "download", "saha", 4.0, 1.3),
                  Bed.route("/reg/", "non_idempotent", "saha", 4.0, 1.3)),
              List.of("saha")));
      Bed.Machine machine = bed.new Machine("side-a-1", "a", "east", "saha", door.port());
      machine.start();
      Unframed test = new Unframed(bed, machine);
      machine.awaitReady(20_000);
      test.crash();
      test.silence();
      bed.note("successes with a part of the body: " + test.broken);
      end = test.broken > 0 ? 1 : 0;
    } catch (Bed.CannotRun reason) {
      System.out.println("could not run: " + reason.getMessage());
    }
    System.exit(end);
  }

  private Bed.App startBackend(int backlog) throws IOException {
    Bed.App app = bed.new App(machine, "i-" + ++backends, 6, backlog);
    machine.awaitServed("/pack/w/5/size/100", 20_000);
    return app;
  }

  /** The backend is killed while it answers a request whose body it has not read to its end. */
  private void crash() throws Exception {
    Bed.App app = startBackend(100);
    for (int i = 0; i < ROUNDS; i++) {
      String id = bed.newId();
      Bed.App running = app;
      Thread killer = new Thread(() -> killInAnswer(running, id));
      if (bed.trouble) {
        killer.start();
      }
      call("POST", "/reg/early/size/" + ANSWER_BYTES, id, new byte[REQUEST_BYTES]);
      killer.join();
      if (bed.trouble) {
        app = startBackend(100);
      }
    }
    bed.signal(app.process, "KILL");
    app.process.waitFor();
  }

  private void killInAnswer(Bed.App app, String id) {
    try {
      long end = System.currentTimeMillis() + 3000;
      while (app.timeOf("half " + id) == 0 && System.currentTimeMillis() < end) {
        Bed.pause(10);
      }
      Bed.pause(100);
      bed.signal(app.process, "KILL");
      app.process.waitFor();
      bed.note("backend is killed");
    } catch (IOException | InterruptedException failed) {
      bed.note("signal failed: " + failed);
    }
  }

  /** The backend is stopped while it answers, so that it neither sends nor takes connections. */
  private void silence() throws Exception {
    Bed.App app = startBackend(1);
    for (int i = 0; i < ROUNDS; i++) {
      Thread stopper = new Thread(() -> stopForAWhile(app));
      if (bed.trouble) {
        stopper.start();
      }
      call("GET", "/pack/w/5/size/" + ANSWER_BYTES + "/pieces/8/unframed", bed.newId(), new byte[0]);
      stopper.join();
      Bed.pause(2500);
    }
  }

  private void stopForAWhile(Bed.App app) {
    try {
      Bed.pause(350);
      bed.note("backend falls silent");
      bed.signal(app.process, "STOP");
      Bed.pause(3000);
      bed.signal(app.process, "CONT");
      bed.note("backend runs again");
    } catch (IOException failed) {
      bed.note("signal failed: " + failed);
    }
  }

  private void call(String method, String path, String id, byte[] body) {
    bed.note("client sends " + id + " " + method + ", deadline 4000 ms, body " + body.length);
    try {
      Http.Message answer = machine.call(method, path, id, 4000, body, 6000);
      boolean whole = Arrays.equals(answer.body(), Backend.body(id, ANSWER_BYTES));
      bed.note(
          "client got " + answer.status() + ", " + answer.body().length + " of " + ANSWER_BYTES
              + " bytes, stamp " + answer.header("X-Cuminlatch-Server-Stamp")
              + ", content-length " + answer.header("content-length"));
      if (answer.status() / 100 == 2 && !whole) {
        broken++;
      }
    } catch (IOException closed) {
      bed.note("client got no whole answer: " + closed.getMessage());
    }
  }
}
