package org.cuminlatch.node;

import static org.cuminlatch.core.Preconditions.notNull;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.node.call.CallPath;
import org.cuminlatch.node.call.CallPathDependencies;
import org.cuminlatch.node.call.CallPathSettings;
import org.cuminlatch.node.control.ControlPlane;
import org.cuminlatch.node.operator.NodePages;
import org.cuminlatch.node.operator.OperatorServer;
import org.cuminlatch.node.settings.NodeSettings;
import org.cuminlatch.node.target.TargetMonitor;
import org.cuminlatch.wire.log.HttpLogClient;
import org.cuminlatch.wire.log.LogClient;

/** A running node: control plane, call path, health checks of the target and operator pages. */
final class Node {

  private static final Logger LOG = LogManager.getLogger(Node.class);
  private static final Duration LOG_REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(60);
  private static final long HEALTH_CHECK_INTERVAL_MILLIS = 1_000;

  private final LogClient log;
  private final ControlPlane control;
  private final CallPath calls;
  private final OperatorServer operator;
  private final ScheduledExecutorService healthCheckExecutor;
  private CompletableFuture<Void> drained;

  private Node(NodeSettings settings) {
    InstantSource clock = InstantSource.system();
    SecureRandom random = new SecureRandom();
    MetricRegistry metrics = new MetricRegistry();
    this.log = HttpLogClient.create(settings.logUris(), LOG_REQUEST_TIMEOUT);
    this.control = ControlPlane.start(settings, log, clock, random, metrics);
    this.calls =
        CallPath.start(
            callSettings(settings),
            new CallPathDependencies(
                control::servingSnapshot,
                control.members(),
                control.moves(),
                control.moves(),
                control::self,
                clock,
                random,
                metrics));
    this.operator =
        OperatorServer.start(
            settings.operatorListen(), NodePages.of(control, calls, metrics, this::drain));
    this.healthCheckExecutor =
        Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "target-monitor"));
    startHealthChecks(settings);
  }

  /**
   * Starts a node.
   *
   * @param settings checked settings
   * @return the running node
   */
  static Node start(NodeSettings settings) {
    Node node = new Node(notNull(settings, "settings"));
    LOG.info("instance {} started in mesh {}", settings.instance(), settings.mesh());
    return node;
  }

  /** Drains the calls in flight, leaves the mesh and stops. */
  void stop() {
    awaitDrained(drain());
    healthCheckExecutor.shutdownNow();
    control.leaveAndClose();
    calls.close();
    operator.close();
    log.close();
    LogManager.shutdown();
  }

  private synchronized CompletableFuture<Void> drain() {
    if (drained == null) {
      LOG.info("draining the calls in flight");
      control.drain();
      drained = calls.drain();
    }
    return drained;
  }

  private static void awaitDrained(CompletableFuture<Void> drained) {
    try {
      drained.get(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException notDrained) {
      LOG.warn(
          "calls are still in flight after the drain timeout of {}; stopping anyway",
          DRAIN_TIMEOUT);
    }
  }

  private void startHealthChecks(NodeSettings settings) {
    HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .executor(Runnable::run)
            .build();
    TargetMonitor targetMonitor = TargetMonitor.of(client, settings.target().uri());
    Runnable healthCheck = () -> targetMonitor.fetchPhase().thenAccept(control::updateTargetPhase);
    healthCheckExecutor.scheduleWithFixedDelay(
        healthCheck, 0, HEALTH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static CallPathSettings callSettings(NodeSettings settings) {
    return new CallPathSettings(
        socketAddress(settings.httpListen()),
        socketAddress(settings.callListen()),
        settings.target().uri(),
        settings.target().slots(),
        settings.target().connections(),
        CallPathSettings.DEFAULT_MAX_CALLER_THREADS,
        settings.crossRegionBytesPerSecond());
  }

  private static InetSocketAddress socketAddress(Address address) {
    return new InetSocketAddress(address.host(), address.port());
  }
}
