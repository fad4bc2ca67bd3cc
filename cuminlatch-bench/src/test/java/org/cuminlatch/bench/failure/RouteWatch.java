package org.cuminlatch.bench.failure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminlatch.bench.process.Http;
import org.cuminlatch.bench.process.Instance;

/**
 * Asks every node again and again for all routes published so far and notes each node that, having
 * answered on a route once, later says that there is no such route.
 */
final class RouteWatch implements AutoCloseable {

  private static final int NO_ROUTE = 404;
  private static final int FOUND = 200;

  private final List<Instance> instances;
  private final List<String> routes = new CopyOnWriteArrayList<>();
  private final Map<String, Boolean> answered = new ConcurrentHashMap<>();
  private final List<String> reverted = new CopyOnWriteArrayList<>();
  private final Thread thread = new Thread(this::watch, "route-watch");
  private volatile boolean stopped;

  private RouteWatch(List<Instance> instances) {
    this.instances = List.copyOf(instances);
  }

  static RouteWatch of(List<Instance> instances) {
    RouteWatch watch = new RouteWatch(instances);
    watch.thread.start();
    return watch;
  }

  void add(String route) {
    routes.add(route);
  }

  List<String> reverted() {
    return new ArrayList<>(reverted);
  }

  private void watch() {
    try {
      while (!stopped) {
        for (Instance instance : instances) {
          for (String route : routes) {
            look(instance, route);
          }
        }
        Thread.sleep(20);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void look(Instance instance, String route) throws InterruptedException {
    String key = instance.name() + " " + route;
    int status = Http.status(instance.httpPort(), "/" + route);
    if (status == FOUND) {
      answered.put(key, true);
    } else if (status == NO_ROUTE && answered.containsKey(key)) {
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
