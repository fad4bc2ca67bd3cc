package org.cuminlatch.bench.failure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cuminlatch.bench.process.Instance;
import org.cuminlatch.bench.process.ProcessMesh;
import org.cuminlatch.testkit.load.Audit;
import org.cuminlatch.testkit.load.LoadSummary;
import org.cuminlatch.testkit.load.Observation;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
@DisplayName("Failures of node processes")
class NodeFailureTests {

  private static final Duration LOAD_DURATION = Duration.ofSeconds(6);
  private static final Duration PAUSE_DURATION = Duration.ofSeconds(12);

  @TempDir private Path directory;

  @Test
  void guaranteesToCallersHoldWhileOneNodeIsKilledAndRestarted() throws Exception {
    try (ProcessMesh mesh = ProcessMesh.start(directory, 4)) {
      Instance killed = mesh.instances().get(3);
      final var load =
          CompletableFuture.supplyAsync(
              () -> mesh.load("kill", mesh.instances().subList(0, 2), 100, LOAD_DURATION));
      Thread.sleep(LOAD_DURATION.toMillis() / 3);
      killed.node().kill();
      Thread.sleep(LOAD_DURATION.toMillis() / 3);
      mesh.startNode(killed);
      assertGuaranteesHold(mesh, load.join());
      mesh.awaitRoute("/base");
    }
  }

  @Test
  void pausedNodeCatchesUpAndNoNodeRevertsToAnOlderVersion() throws Exception {
    try (ProcessMesh mesh = ProcessMesh.start(directory, 4);
        RouteMonitor monitor = RouteMonitor.of(mesh.instances())) {
      monitor.add("base");
      final Instance paused = mesh.instances().get(2);
      final var load =
          CompletableFuture.supplyAsync(
              () -> mesh.load("pause", mesh.instances().subList(0, 2), 60, PAUSE_DURATION));
      paused.node().pause();
      assertThat(mesh.publish(ProcessMesh.route("later")), is(0));
      monitor.add("later");
      Thread.sleep(PAUSE_DURATION.toMillis());
      paused.node().resume();
      assertThat(mesh.awaitRoute("/later"), lessThan(ProcessMesh.CONVERGENCE_TIMEOUT));
      assertGuaranteesHold(mesh, load.join());
      assertThat(monitor.reverted(), empty());
    }
  }

  @Test
  void nodesRecoverTheirVersionAfterHalfAreKilledAtOnce() throws Exception {
    try (ProcessMesh mesh = ProcessMesh.start(directory, 6);
        RouteMonitor monitor = RouteMonitor.of(mesh.instances())) {
      for (int i = 0; i < 3; i++) {
        assertThat(mesh.publish(ProcessMesh.route("recovery" + i)), is(0));
        monitor.add("recovery" + i);
      }
      mesh.awaitRoute("/recovery2");
      final List<Instance> restarted = mesh.instances().subList(3, 6);
      final List<Instance> surviving = mesh.instances().subList(0, 3);
      for (Instance instance : restarted) {
        instance.node().kill();
      }
      List<Observation> observations = mesh.load("recovery", surviving, 60, LOAD_DURATION);
      for (Instance instance : restarted) {
        mesh.startNode(instance);
      }
      mesh.awaitRoute("/recovery2");
      assertGuaranteesHold(mesh, observations);
      assertThat(monitor.reverted(), empty());
    }
  }

  private static void assertGuaranteesHold(ProcessMesh mesh, List<Observation> observations)
      throws Exception {
    Audit audit = mesh.audit(observations);
    assertThat("executed twice", audit.repeated(), empty());
    assertThat("executed although reported as not run", audit.falselyNotRun(), empty());
    assertThat("incomplete or another request's answer", audit.wrongAnswers(), empty());
    assertThat("answered but never executed", audit.unranAnswers(), empty());
    assertThat(
        "answered", LoadSummary.of(observations).ok(), greaterThan(observations.size() / 2L));
  }
}
