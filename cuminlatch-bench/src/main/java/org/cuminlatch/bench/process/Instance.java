package org.cuminlatch.bench.process;

/** A target instance and its node, with the ports that both use. */
public final class Instance {

  private final String name;
  private final String region;
  private final int controlPort = PortAllocator.allocate();
  private final int callPort = PortAllocator.allocate();
  private final int httpPort = PortAllocator.allocate();
  private final int operatorPort = PortAllocator.allocate();
  private final int targetPort = PortAllocator.allocate();
  private int nodeTargetPort = targetPort;
  private ChildProcess node;

  private Instance(String name, String region) {
    this.name = name;
    this.region = region;
  }

  static Instance ofNumber(int number) {
    return new Instance("node-" + number, number % 2 == 0 ? "leinster" : "munster");
  }

  /**
   * Sets the port through which the node reaches its target, effective from its next start.
   *
   * @param port the port, for example of a relay
   */
  public void setNodeTargetPort(int port) {
    nodeTargetPort = port;
  }

  void setNode(ChildProcess process) {
    node = process;
  }

  /**
   * Returns the node process.
   *
   * @return the most recently started process
   */
  public ChildProcess node() {
    return node;
  }

  /**
   * Returns the name of the instance.
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
   * Returns the port on which the node accepts calls over HTTP.
   *
   * @return the port
   */
  public int httpPort() {
    return httpPort;
  }

  /**
   * Returns the port on which the target listens.
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
        "url = \"http://" + loopback(nodeTargetPort) + "\"",
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
