import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * A backend falls silent in the middle of an answer without a length. The client must not get the
 * part that has been sent as a whole answer.
 */
public final class Unframed {

  private static final int ANSWER_BYTES = 300_000;

  private Unframed() {}

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
            3, List.of(Bed.route("/pack/", "download", "saha", 4.0, 1.3)), List.of("saha")));
    Bed.Machine machine = bed.new Machine("side-a-1", "a", "east", "saha", door.port());
    machine.start();
    Bed.App app = bed.new App(machine, "i-1", 6, 1);
    machine.awaitReady(20_000);
    machine.awaitServed("/pack/w/5/size/100", 20_000);

    int broken = 0;
    for (int i = 0; i < 3; i++) {
      String id = bed.newId();
      Thread stopper =
          new Thread(
              () -> {
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
              });
      if (bed.trouble) {
        stopper.start();
      }
      bed.note("client sends " + id + ", deadline 4000 ms");
      String path = "/pack/w/5/size/" + ANSWER_BYTES + "/pieces/8/unframed";
      try {
        Http.Message answer = machine.call("GET", path, id, 4000, new byte[0], 6000);
        boolean whole = java.util.Arrays.equals(answer.body(), Backend.body(id, ANSWER_BYTES));
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
      stopper.join();
      Bed.pause(2500);
    }
    bed.note("successes with a part of the body: " + broken);
    return broken > 0 ? 1 : 0;
  }
}
