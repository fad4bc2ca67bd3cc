package org.cuminlatch.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.testkit.load.Audit;
import org.cuminlatch.testkit.load.LoadGenerator;
import org.cuminlatch.testkit.load.LoadOptions;
import org.cuminlatch.testkit.load.Observation;
import org.cuminlatch.testkit.load.TargetExecutions;

/** A log, targets and the nodes beside them as processes, in two regions of one zone each. */
public final class Mesh implements AutoCloseable {

  /** Longest time until all processes serve. */
  public static final Duration BOOT = Duration.ofSeconds(60);

  /** Time within which a configuration must be in force everywhere. */
  public static final Duration CONVERGENCE = Duration.ofSeconds(15);

  private static final String SERVICE = "orders";
  private static final int SLOTS = 40;
  private static final int CLI_SECONDS = 60;
  private static final String LOG_MAIN = "org.cuminlatch.testkit.log.PlatformLogMain";
  private static final String TARGET_MAIN = "org.cuminlatch.testkit.target.TargetMain";
  private static final String NODE_MAIN = "org.cuminlatch.node.NodeMain";
  private static final String CLI_MAIN = "org.cuminlatch.cli.CuminlatchMain";

  private final Path directory;
  private final int logPort = Ports.free();
  private final List<Instance> instances = new ArrayList<>();
  private final List<ChildProcess> processes = new ArrayList<>();
  private int publications;

  private Mesh(Path directory) {
    this.directory = directory;
  }

  /**
   * Starts a mesh with one route and waits until all nodes serve it.
   *
   * @param directory directory for settings and output
   * @param size number of instances
   * @return the running mesh
   * @throws Exception if a process does not start
   */
  public static Mesh start(Path directory, int size) throws Exception {
    Mesh mesh = new Mesh(directory);
    try {
      mesh.startProcesses(size);
      mesh.publish(baseRecords());
      mesh.awaitRoute("/base");
      return mesh;
    } catch (Exception | AssertionError e) {
      mesh.close();
      throw e;
    }
  }

  private void startProcesses(int size) throws Exception {
    track(
        ChildProcess.start(
            directory.resolve("log.out"), LOG_MAIN, List.of("--port", "" + logPort)));
    for (int i = 0; i < size; i++) {
      instances.add(Instance.numbered(i));
    }
    for (Instance instance : instances) {
      track(
          ChildProcess.start(
              directory.resolve("target-" + instance.name() + ".out"),
              TARGET_MAIN,
              List.of("--port", "" + instance.targetPort(), "--slots", "" + SLOTS)));
      startNode(instance);
    }
    Eventually.seen("log", BOOT, () -> Http.status(logPort, "/admin/counts") == 200);
  }

  private ChildProcess track(ChildProcess process) {
    processes.add(process);
    return process;
  }

  /**
   * Starts the node of an instance, again if it ran before.
   *
   * @param instance the instance
   * @throws IOException if its settings cannot be written
   */
  public void startNode(Instance instance) throws IOException {
    Path settings = directory.resolve(instance.name() + ".toml");
    Files.writeString(settings, instance.settings(instances.get(0), logPort, SERVICE, SLOTS));
    Path output = directory.resolve("node-" + instance.name() + ".out");
    instance.runs(
        track(ChildProcess.start(output, NODE_MAIN, List.of("--settings", settings.toString()))));
  }

  private static String baseRecords() {
    return String.join(
        "\n",
        "[[target-version]]",
        "service = \"" + SERVICE + "\"",
        "version = \"v1\"",
        route("base"));
  }

  /**
   * Writes a route whose path is its name.
   *
   * @param name name of the route
   * @return the record in TOML
   */
  public static String route(String name) {
    return String.join(
        "\n",
        "[[route]]",
        "name = \"" + name + "\"",
        "path-prefix = \"/" + name + "\"",
        "service = \"" + SERVICE + "\"",
        "");
  }

  /**
   * Publishes records by the command-line tool.
   *
   * @param records records in TOML
   * @param options further options of the tool
   * @return its exit code
   * @throws Exception if it does not end
   */
  public int publish(String records, String... options) throws Exception {
    return startPublishing(records, options).join(CLI_SECONDS);
  }

  /**
   * Starts the command-line tool to publish records.
   *
   * @param records records in TOML
   * @param options further options of the tool
   * @return the running tool
   * @throws IOException if the records cannot be written
   */
  public ChildProcess startPublishing(String records, String... options) throws IOException {
    publications++;
    Path file = directory.resolve("publish-" + publications + ".toml");
    Files.writeString(file, records);
    List<String> arguments = new ArrayList<>(List.of("publish", file.toString()));
    arguments.addAll(List.of("--log", "http://127.0.0.1:" + logPort));
    arguments.addAll(List.of(options));
    return track(ChildProcess.start(directory.resolve("publish.out"), CLI_MAIN, arguments));
  }

  /**
   * Waits until callers at every node get answers on a path.
   *
   * @param path the path
   * @return how long it took
   * @throws Exception if it takes too long
   */
  public Duration awaitRoute(String path) throws Exception {
    return Eventually.seen(
        "route " + path + " in force at every node",
        BOOT,
        () -> {
          for (Instance instance : instances) {
            if (Http.status(instance.httpPort(), path) != 200) {
              return false;
            }
          }
          return true;
        });
  }

  /**
   * Returns the instances.
   *
   * @return the instances in the order of their start
   */
  public List<Instance> instances() {
    return instances;
  }

  /**
   * Returns where the log listens.
   *
   * @return the port
   */
  public int logPort() {
    return logPort;
  }

  /**
   * Sends a load of which half may not be repeated.
   *
   * @param prefix prefix of the requests' ids
   * @param entries instances at whose nodes the requests enter
   * @param rate requests per second
   * @param length how long to send
   * @return what the callers saw
   */
  public List<Observation> load(String prefix, List<Instance> entries, int rate, Duration length) {
    return LoadGenerator.run(
        new LoadOptions(
            entries.stream().map(instance -> "127.0.0.1:" + instance.httpPort()).toList(),
            List.of("/base/order", "/base/bytes/20000"),
            rate,
            length,
            Duration.ofSeconds(15),
            0.5,
            200,
            prefix,
            7));
  }

  /**
   * Compares what callers saw with what the targets ran.
   *
   * @param seen what the callers saw
   * @return the comparison
   * @throws Exception if a target does not answer
   */
  public Audit audit(List<Observation> seen) throws Exception {
    List<String> targets =
        instances.stream().map(instance -> "127.0.0.1:" + instance.targetPort()).toList();
    return Audit.of(seen, TargetExecutions.of(targets));
  }

  @Override
  public void close() {
    processes.forEach(ChildProcess::close);
  }
}
