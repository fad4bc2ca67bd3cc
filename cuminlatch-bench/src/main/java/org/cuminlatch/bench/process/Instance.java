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
    return """
        mesh = "failure"
        [instance]
        name = "%s"
        region = "%s"
        zone = "a"
        [control]
        listen = "127.0.0.1:%d"
        seeds = ["127.0.0.1:%d"]
        [calls]
        listen = "127.0.0.1:%d"
        http = "127.0.0.1:%d"
        [operator]
        listen = "127.0.0.1:%d"
        [target]
        url = "http://127.0.0.1:%d"
        service = "%s"
        version = "v1"
        slots = %d
        [log]
        urls = ["http://127.0.0.1:%d"]
        """
        .formatted(
            name,
            region,
            controlPort,
            seed.controlPort,
            callPort,
            httpPort,
            operatorPort,
            reachedTargetPort,
            service,
            slots,
            logPort);
  }
}
