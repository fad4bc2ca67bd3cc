import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A machine of a small deployment: a loopback address, a node process that is started with the
 * command of deploy/system.toml, and a backend.
 */
final class Machine implements AutoCloseable {

  static final int READY_PORT = 8141;
  static final int STORE_PORT = 8142;
  static final int CONTROL_PORT = 8144;
  static final int APP_PORT = 8145;
  static final int OUTBOUND_PORT = 8147;
  private static final int FIRST_INTERNAL_PORT = 7380;
  private static final int LAST_INTERNAL_PORT = 7395;

  final String name;
  final String ip;
  final String service;
  private final Lab lab;
  private final Path settings;
  private final Path log;
  private Process process;

  Machine(Lab lab, String name, String ip, String zone, String service, String graceSeconds)
      throws IOException {
    this.lab = lab;
    this.name = name;
    this.ip = ip;
    this.service = service;
    this.settings = lab.folder.resolve(name + ".conf");
    this.log = lab.folder.resolve(name + ".log");
    Map<String, String> fields = new HashMap<>();
    fields.put("node_name", name);
    fields.put("region", zone.substring(0, zone.indexOf('-')));
    fields.put("zone", zone);
    fields.put("service", service);
    fields.put("ip", ip);
    fields.put("app_addr", ip + ":" + APP_PORT);
    fields.put("listen.outbound", ip + ":" + OUTBOUND_PORT);
    fields.put("listen.ready", ip + ":" + READY_PORT);
    fields.put("listen.control", ip + ":" + CONTROL_PORT);
    fields.put("internal_ports.0", "" + FIRST_INTERNAL_PORT);
    fields.put("internal_ports.1", "" + LAST_INTERNAL_PORT);
    fields.put("platform.addr", lab.storeIp + ":" + STORE_PORT);
    fields.put("bounds.grace_s", graceSeconds);
    Files.writeString(settings, render(Files.readString(template()), fields));
  }

  /** Fills in the template as DEPLOY.md says; sections of fields without a value are left out. */
  private static String render(String template, Map<String, String> fields) {
    String text = Pattern.compile("\\{\\{#([^}]+)}}.*?\\{\\{/\\1}}\n?", Pattern.DOTALL)
        .matcher(template)
        .replaceAll("");
    Matcher placeholder = Pattern.compile("\\{\\{([^}|]+)(\\|json)?}}").matcher(text);
    return placeholder.replaceAll(
        match -> {
          String value = fields.getOrDefault(match.group(1), "");
          return Matcher.quoteReplacement(match.group(2) == null ? value : "\"" + value + "\"");
        });
  }

  private static String deployed(String key) {
    try {
      String text = Files.readString(Path.of("deploy/system.toml"));
      Matcher line =
          Pattern.compile("^" + key + " = \"(.*)\"$", Pattern.MULTILINE)
              .matcher(text.substring(text.indexOf("[roles.node]")));
      if (!line.find()) {
        throw new IllegalStateException("deploy/system.toml has no " + key);
      }
      return line.group(1);
    } catch (IOException unreadable) {
      throw new IllegalStateException(unreadable);
    }
  }

  private static Path template() {
    return Path.of(deployed("template"));
  }

  /** Starts the node in the repository root, without variables beside those of DEPLOY.md. */
  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(List.of(deployed("run").split(" ")));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("CUMINLATCH_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    lab.record("start " + name + " " + ip + " service=" + service);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void awaitReady() throws Exception {
    lab.await(name + " is ready", 30, () -> Caller.status(ip, READY_PORT, "/cuminlatch/readyz") == 200);
  }

  /** Sends a signal to the node process that this machine has started. */
  void signal(String signal) throws IOException, InterruptedException {
    lab.record("signal " + signal + " " + name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns resident memory in MB. */
  long residentMb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
      }
    }
    return -1;
  }

  /** Returns the lines of the node's log that contain a text. */
  List<String> logLines(String text) throws IOException {
    List<String> lines = new ArrayList<>();
    for (String line : Files.readString(log, java.nio.charset.StandardCharsets.ISO_8859_1).split("\n")) {
      if (line.contains(text)) {
        lines.add(line);
      }
    }
    return lines;
  }

  boolean hasEnded(int seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws InterruptedException {
    if (process != null && process.isAlive()) {
      process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
  }
}
