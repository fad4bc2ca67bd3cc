package org.cuminlatch.bench.failure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminlatch.bench.process.Instance;
import org.cuminlatch.bench.process.LoopbackHttp;

/**
 * Polls every node for all published routes and records each node that answered on a route once and
 * later returns 404 for it.
 */
final class RouteMonitor implements AutoCloseable {

  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_OK = 200;

  private final List<Instance> instances;
  private final List<String> routes = new CopyOnWriteArrayList<>();
  private final Map<String, Boolean> answeredBefore = new ConcurrentHashMap<>();
  private final List<String> reverted = new CopyOnWriteArrayList<>();
  private final Thread thread = new Thread(this::run, "route-monitor");
  private volatile boolean stopped;

  private RouteMonitor(List<Instance> instances) {
    this.instances = List.copyOf(instances);
  }

  static RouteMonitor of(List<Instance> instances) {
    RouteMonitor monitor = new RouteMonitor(instances);
    monitor.thread.start();
    return monitor;
  }

  void add(String route) {
    routes.add(route);
  }

  List<String> reverted() {
    return new ArrayList<>(reverted);
  }

  private void run() {
    try {
      while (!stopped) {
        for (Instance instance : instances) {
          for (String route : routes) {
            poll(instance, route);
          }
        }
        Thread.sleep(20);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void poll(Instance instance, String route) throws InterruptedException {
    String key = instance.name() + " " + route;
    int status = LoopbackHttp.status(instance.httpPort(), "/" + route);
    if (status == STATUS_OK) {
      answeredBefore.put(key, true);
    } else if (status == STATUS_NOT_FOUND && answeredBefore.containsKey(key)) {
      reverted.add(key);
    }
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    thread.interrupt();
    thread.join();
  }
}
