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

/** A log, targets and their nodes as processes, in two regions with one zone each. */
public final class ProcessMesh implements AutoCloseable {

  /** Timeout for all processes to start and serve. */
  public static final Duration STARTUP_TIMEOUT = Duration.ofSeconds(60);

  /** Time within which an accepted configuration must be in force on every node. */
  public static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(15);

  private static final String SERVICE = "orders";
  private static final int SLOTS = 40;
  private static final int CLI_TIMEOUT_SECONDS = 60;
  private static final String LOG_MAIN = "org.cuminlatch.testkit.log.PlatformLogMain";
  private static final String TARGET_MAIN = "org.cuminlatch.testkit.target.TargetMain";
  private static final String NODE_MAIN = "org.cuminlatch.node.NodeMain";
  private static final String CLI_MAIN = "org.cuminlatch.cli.CuminlatchMain";

  private final Path directory;
  private final int logPort = PortAllocator.allocate();
  private final List<Instance> instances = new ArrayList<>();
  private final List<ChildProcess> processes = new ArrayList<>();
  private int publications;

  private ProcessMesh(Path directory) {
    this.directory = directory;
  }

  /**
   * Starts a mesh, publishes one route and waits until all nodes serve it.
   *
   * @param directory directory for settings and output files
   * @param size number of instances
   * @return the running mesh
   * @throws Exception if a process does not start
   */
  public static ProcessMesh start(Path directory, int size) throws Exception {
    ProcessMesh mesh = new ProcessMesh(directory);
    try {
      mesh.startProcesses(size);
      mesh.publish(initialRecords());
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
      instances.add(Instance.ofNumber(i));
    }
    for (Instance instance : instances) {
      track(
          ChildProcess.start(
              directory.resolve("target-" + instance.name() + ".out"),
              TARGET_MAIN,
              List.of("--port", "" + instance.targetPort(), "--slots", "" + SLOTS)));
      startNode(instance);
    }
    Eventually.await(
        "log", STARTUP_TIMEOUT, () -> LoopbackHttp.status(logPort, "/admin/counts") == 200);
  }

  private ChildProcess track(ChildProcess process) {
    processes.add(process);
    return process;
  }

  /**
   * Starts or restarts the node of an instance.
   *
   * @param instance the instance
   * @throws IOException if its settings cannot be written
   */
  public void startNode(Instance instance) throws IOException {
    Path settings = directory.resolve(instance.name() + ".toml");
    Files.writeString(settings, instance.settings(instances.get(0), logPort, SERVICE, SLOTS));
    Path output = directory.resolve("node-" + instance.name() + ".out");
    instance.setNode(
        track(ChildProcess.start(output, NODE_MAIN, List.of("--settings", settings.toString()))));
  }

  private static String initialRecords() {
    return String.join(
        "\n",
        "[[target-version]]",
        "service = \"" + SERVICE + "\"",
        "version = \"v1\"",
        route("base"));
  }

  /**
   * Returns a route whose path prefix is its name.
   *
   * @param name name of the route
   * @return the route in TOML
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
   * Publishes records with the command-line tool and waits for it to exit.
   *
   * @param records records in TOML
   * @param options additional options of the tool
   * @return its exit code
   * @throws Exception if it does not exit in time
   */
  public int publish(String records, String... options) throws Exception {
    return startPublishing(records, options).waitForExit(CLI_TIMEOUT_SECONDS);
  }

  /**
   * Starts publishing records with the command-line tool.
   *
   * @param records records in TOML
   * @param options additional options of the tool
   * @return the process of the tool
   * @throws IOException if the records cannot be written to a file
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
   * Waits until every node answers calls on a path with status 200.
   *
   * @param path the path
   * @return time until all nodes answered
   * @throws Exception if it takes too long
   */
  public Duration awaitRoute(String path) throws Exception {
    return Eventually.await(
        "route " + path + " in force at every node",
        STARTUP_TIMEOUT,
        () -> {
          for (Instance instance : instances) {
            if (LoopbackHttp.status(instance.httpPort(), path) != 200) {
              return false;
            }
          }
          return true;
        });
  }

  /**
   * Returns the instances.
   *
   * @return the instances in start order
   */
  public List<Instance> instances() {
    return instances;
  }

  /**
   * Returns the port on which the log listens.
   *
   * @return the port
   */
  public int logPort() {
    return logPort;
  }

  /**
   * Sends requests at a steady rate; half of them may not be repeated.
   *
   * @param requestIdPrefix prefix of the request ids
   * @param entryInstances instances whose nodes receive the requests
   * @param requestsPerSecond requests per second
   * @param duration duration of the load
   * @return the callers' observations
   */
  public List<Observation> load(
      String requestIdPrefix,
      List<Instance> entryInstances,
      int requestsPerSecond,
      Duration duration) {
    return LoadGenerator.run(
        new LoadOptions(
            entryInstances.stream().map(instance -> "127.0.0.1:" + instance.httpPort()).toList(),
            List.of("/base/order", "/base/bytes/20000"),
            requestsPerSecond,
            duration,
            Duration.ofSeconds(15),
            0.5,
            200,
            requestIdPrefix,
            7));
  }

  /**
   * Compares the callers' observations with the requests that the targets executed.
   *
   * @param observations the callers' observations
   * @return the result of the comparison
   * @throws Exception if a target does not answer
   */
  public Audit audit(List<Observation> observations) throws Exception {
    List<String> targets =
        instances.stream().map(instance -> "127.0.0.1:" + instance.targetPort()).toList();
    return Audit.of(observations, TargetExecutions.of(targets));
  }

  @Override
  public void close() {
    processes.forEach(ChildProcess::close);
  }
}
