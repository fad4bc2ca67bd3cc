package org.cuminlatch.bench.process;

/** A target instance and the node beside it. */
public final class Instance {

  private final String name;
  private final String region;
  private final int controlPort = Ports.free();
  private final int callPort = Ports.free();
  private final int httpPort = Ports.free();
  private final int operatorPort = Ports.free();
  private final int targetPort = Ports.free();
  private int reachedTargetPort = targetPort;
  private ChildProcess node;

  private Instance(String name, String region) {
    this.name = name;
    this.region = region;
  }

  static Instance numbered(int number) {
    return new Instance("node-" + number, number % 2 == 0 ? "leinster" : "munster");
  }

  /**
   * Lets the node reach its target through another port, from its next start on.
   *
   * @param port the other port
   */
  public void reachTargetBy(int port) {
    reachedTargetPort = port;
  }

  void runs(ChildProcess started) {
    node = started;
  }

  /**
   * Returns the process of the node.
   *
   * @return the process last started
   */
  public ChildProcess node() {
    return node;
  }

  /**
   * Returns its name.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  int operatorPort() {
    return operatorPort;
  }

  /**
   * Returns where the node takes callers.
   *
   * @return the port
   */
  public int httpPort() {
    return httpPort;
  }

  /**
   * Returns where the target listens.
   *
   * @return the port
   */
  public int targetPort() {
    return targetPort;
  }

  String settings(Instance seed, int logPort, String service, int slots) {
    return String.join(
        "\n",
        "mesh = \"failure\"",
        "[instance]",
        "name = \"" + name + "\"",
        "region = \"" + region + "\"",
        "zone = \"a\"",
        "[control]",
        "listen = \"" + loopback(controlPort) + "\"",
        "seeds = [\"" + loopback(seed.controlPort) + "\"]",
        "[calls]",
        "listen = \"" + loopback(callPort) + "\"",
        "http = \"" + loopback(httpPort) + "\"",
        "[operator]",
        "listen = \"" + loopback(operatorPort) + "\"",
        "[target]",
        "url = \"http://" + loopback(reachedTargetPort) + "\"",
        "service = \"" + service + "\"",
        "version = \"v1\"",
        "slots = " + slots,
        "[log]",
        "urls = [\"http://" + loopback(logPort) + "\"]",
        "");
  }

  private static String loopback(int port) {
    return "127.0.0.1:" + port;
  }
}
