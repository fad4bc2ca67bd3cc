import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Test bed: starts nodes with the command of the deploy file, backends and the store. */
final class Bed implements AutoCloseable {

  /** Ends a case that could not run. */
  static final class CannotRun extends RuntimeException {
    CannotRun(String reason) {
      super(reason);
    }
  }

  private static int nextPort = 12_000 + (int) (ProcessHandle.current().pid() * 97 % 19_900);

  final Store store = new Store();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path repository = Path.of(System.getProperty("repository"));
  private final Path folder;
  private final PrintWriter record;
  private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong ids = new AtomicLong(System.nanoTime());

  Bed(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("cuminlatch-review");
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  synchronized void note(String text) {
    record.println(System.currentTimeMillis() + " " + text);
    record.flush();
    System.out.println(text);
  }

  /** Returns a free port below those that systems give to outgoing connections. */
  static synchronized int freePort() throws IOException {
    for (int i = 0; i < 2000; i++) {
      nextPort = nextPort >= 31_900 ? 12_000 : nextPort + 1;
      try (ServerSocket socket = new ServerSocket(nextPort, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (java.net.BindException taken) {
        // the next one is tried
      }
    }
    throw new CannotRun("no free port");
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException stop) {
      throw new CannotRun("interrupted");
    }
  }

  String newId() {
    return String.format("%016x", ids.addAndGet(0x9e3779b97f4a7c15L));
  }

  /** A machine: a node and the addresses around it. */
  final class Machine {
    final String name;
    final String zone;
    final String region;
    final String service;
    final int target = freePort();
    final int callers = freePort();
    final int ready = freePort();
    final int control = freePort();
    final int peers = freePort();
    final int metrics = freePort();
    final int storePort;
    Process node;
    private int starts;

    Machine(String name, String zone, String region, String service, int storePort)
        throws IOException {
      this.name = name;
      this.zone = zone;
      this.region = region;
      this.service = service;
      this.storePort = storePort;
    }

    void start() throws IOException {
      Path settings = folder.resolve(name + ".toml");
      Files.writeString(settings, settings());
      List<String> command = List.of(runCommand().split(" +"));
      ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("CUMINLATCH_CONFIG", settings.toString());
      File log = folder.resolve(name + "." + starts++ + ".log").toFile();
      node = builder.redirectErrorStream(true).redirectOutput(log).start();
      processes.add(node);
      note("node " + name + " started, pid " + node.pid());
    }

    private String settings() throws IOException {
      String text = Files.readString(repository.resolve("deploy/settings.toml.template"));
      Map<String, String> values =
          Map.ofEntries(
              Map.entry("node_name", name),
              Map.entry("region", region),
              Map.entry("zone", zone),
              Map.entry("service", service),
              Map.entry("app_addr", "127.0.0.1:" + target),
              Map.entry("listen.outbound", "127.0.0.1:" + callers),
              Map.entry("listen.ready", "127.0.0.1:" + ready),
              Map.entry("listen.control", "127.0.0.1:" + control),
              Map.entry("platform.addr", "127.0.0.1:" + storePort));
      for (Map.Entry<String, String> value : values.entrySet()) {
        text = text.replace("{{" + value.getKey() + "|json}}", '"' + value.getValue() + '"');
      }
      return text.replace("{{ip}}", "127.0.0.1")
          .replace("{{internal_ports.0}}", String.valueOf(peers))
          .replace("{{internal_ports.1}}", String.valueOf(metrics))
          .replace("{{bounds.grace_s}}", "6");
    }

    void awaitReady(long millis) {
      long end = System.currentTimeMillis() + millis;
      while (System.currentTimeMillis() < end) {
        try {
          Http.Message answer =
              Http.call(
                  ready, "GET", "/cuminlatch/readyz", Map.of("Host", "x"), new byte[0], 1000);
          if (answer.status() == 200) {
            return;
          }
        } catch (IOException notYet) {
          // asked again
        }
        pause(100);
      }
      throw new CannotRun("node " + name + " did not become ready");
    }

    Http.Message call(
        String method, String path, String id, int deadlineMillis, byte[] body, int timeoutMillis)
        throws IOException {
      return Http.call(
          callers,
          method,
          path,
          Map.of(
              "Host",
              "shop.example",
              "X-Cuminlatch-Request-Id",
              id,
              "X-Cuminlatch-Deadline-Ms",
              String.valueOf(deadlineMillis)),
          body,
          timeoutMillis);
    }

    /** Calls until a request is answered 200. */
    void awaitServed(String path, long millis) {
      long end = System.currentTimeMillis() + millis;
      while (System.currentTimeMillis() < end) {
        try {
          if (call("GET", path, newId(), 1000, new byte[0], 2000).status() == 200) {
            return;
          }
        } catch (IOException notYet) {
          // asked again
        }
        pause(100);
      }
      throw new CannotRun("node " + name + " does not serve " + path);
    }
  }

  private String runCommand() throws IOException {
    boolean inRole = false;
    for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      inRole = line.startsWith("[") ? line.trim().equals("[roles.node]") : inRole;
      if (inRole && line.startsWith("run")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new CannotRun("deploy/system.toml has no run command");
  }

  /** A backend beside a machine, in a process of its own. */
  final class App {
    final String id;
    final Process process;
    final List<String> lines = Collections.synchronizedList(new ArrayList<>());

    App(Machine machine, String id, int slots, int backlog) throws IOException {
      this.id = id;
      process =
          new ProcessBuilder(
                  "java",
                  "-Xmx128m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "Backend",
                  String.valueOf(machine.target),
                  id,
                  machine.service,
                  machine.zone,
                  String.valueOf(slots),
                  String.valueOf(machine.control),
                  String.valueOf(backlog))
              .redirectError(ProcessBuilder.Redirect.DISCARD)
              .start();
      processes.add(process);
      Thread reader = new Thread(this::read);
      reader.setDaemon(true);
      reader.start();
    }

    private void read() {
      try (BufferedReader in =
          new BufferedReader(new InputStreamReader(process.getInputStream()))) {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          lines.add(line);
          recordOnly("backend " + id + ": " + line);
        }
      } catch (IOException ended) {
        // the process has ended
      }
    }

    void say(String command) throws IOException {
      OutputStream out = process.getOutputStream();
      out.write((command + "\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    /** Returns the time of the first line that begins so, or 0. */
    long timeOf(String text) {
      synchronized (lines) {
        return lines.stream()
            .filter(line -> line.substring(line.indexOf(' ') + 1).startsWith(text))
            .mapToLong(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
            .findFirst()
            .orElse(0);
      }
    }
  }

  synchronized void recordOnly(String text) {
    record.println(System.currentTimeMillis() + " " + text);
    record.flush();
  }

  void signal(Process process, String name) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    } catch (InterruptedException stop) {
      throw new CannotRun("interrupted");
    }
  }

  Path folder() {
    return folder;
  }

  private void endProcesses() {
    for (Process process : List.copyOf(processes)) {
      process.destroyForcibly();
      try {
        process.waitFor(2, TimeUnit.SECONDS);
      } catch (InterruptedException stop) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    store.close();
    if (System.getenv("KEEP") == null) {
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } else {
      System.out.println("logs in " + folder);
    }
  }

  /** A configuration; routes are given as JSON objects. */
  static String configuration(int version, List<String> routes, List<String> services) {
    StringBuilder text = new StringBuilder("{\"version\":\"r" + version + "\",\"resources\":[");
    routes.forEach(route -> text.append(route).append(','));
    for (String service : services) {
      text.append("{\"type\":\"services\",\"metadata\":{\"name\":\"" + service
          + "\"},\"spec\":{\"health_path\":\"/healthz\",\"max_conns\":130,\"protocol\":\"h1\","
          + "\"tls\":false}},");
    }
    return text.append(
            "{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}]}")
        .toString();
  }

  static String route(String prefix, String kind, String service, double timeout, double goal) {
    return "{\"type\":\"routes\",\"metadata\":{\"name\":\"r" + prefix.replace("/", "-")
        + "\"},\"spec\":{\"host\":\"shop.example\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout_s\":" + timeout + ",\"goal_s\":" + goal
        + ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":2}}";
  }
}
