import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

/**
 * Surroundings of one case: loopback addresses, a temporary folder, the record, and everything that
 * has to be ended.
 */
final class Lab implements AutoCloseable {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  final Path folder;
  final String storeIp;
  /** Whether the disruption takes place; the variable TROUBLE=0 leaves it out. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final String prefix;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final Deque<AutoCloseable> closeables = new ArrayDeque<>();
  private boolean closed;

  /** What a case does; returns whether the rule was kept. */
  interface Body {
    boolean holds(Lab lab) throws Exception;
  }

  private Lab(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("review");
    prefix = freePrefix();
    storeIp = prefix + "250";
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Runs a case and ends the process with its result; the record is written beside the script. */
  static void run(Path recordFile, Body body) throws IOException {
    int result = NOT_RUN;
    try (Lab lab = new Lab(recordFile)) {
      try {
        lab.record("trouble=" + lab.trouble);
        result = body.holds(lab) ? HELD : BROKEN;
      } catch (Exception | AssertionError notRun) {
        lab.record("could not run: " + notRun);
        notRun.printStackTrace();
      }
      lab.record("result " + result);
    }
    System.exit(result);
  }

  /** Returns the first three numbers of loopback addresses of which the ports are free. */
  private static String freePrefix() throws IOException {
    Random random = new Random();
    for (int i = 0; i < 50; i++) {
      String candidate = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(256) + ".";
      if (isFree(candidate + "1", Machine.OUTBOUND_PORT)
          && isFree(candidate + "250", Machine.STORE_PORT)) {
        return candidate;
      }
    }
    throw new IOException("no free loopback addresses");
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, port));
      return true;
    } catch (IOException used) {
      return false;
    }
  }

  String ip(int number) {
    return prefix + number;
  }

  /** Adds something to be closed at the end, or closes it if that has come. */
  synchronized <T extends AutoCloseable> T add(T closeable) throws IOException {
    if (closed) {
      try {
        closeable.close();
      } catch (Exception notClosed) {
        throw new IOException(notClosed);
      }
      throw new IOException("the case has ended");
    }
    closeables.push(closeable);
    return closeable;
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line to the record, with the time since the start in milliseconds. */
  synchronized void record(String line) {
    record.printf("%7d %s%n", millis(), line);
    record.flush();
  }

  void await(String what, int seconds, Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    while (!condition.call()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("not within " + seconds + " s: " + what);
      }
      Thread.sleep(50);
    }
    record("reached: " + what);
  }

  /** Ends everything that was started; also called if the process is told to end. */
  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    while (!closeables.isEmpty()) {
      try {
        closeables.pop().close();
      } catch (Exception notClosed) {
        record("not closed: " + notClosed);
      }
    }
    record.close();
    try (Stream<Path> files = Files.walk(folder)) {
      if (System.getenv("KEEP") == null) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } catch (IOException notDeleted) {
      System.err.println("not deleted: " + folder);
    }
  }
}
