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
import org.cuminlatch.bench.process.Mesh;
import org.cuminlatch.testkit.load.Audit;
import org.cuminlatch.testkit.load.LoadSummary;
import org.cuminlatch.testkit.load.Observation;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
@DisplayName("Nodes as processes")
class NodeFailureTests {

  private static final Duration LOAD = Duration.ofSeconds(6);
  private static final Duration PAUSE = Duration.ofSeconds(12);

  @TempDir private Path directory;

  @Test
  void keepAllPromisesToCallersWhileOneIsKilledAndRestarted() throws Exception {
    try (Mesh mesh = Mesh.start(directory, 4)) {
      Instance victim = mesh.instances().get(3);
      final var load =
          CompletableFuture.supplyAsync(
              () -> mesh.load("kill", mesh.instances().subList(0, 2), 100, LOAD));
      Thread.sleep(LOAD.toMillis() / 3);
      victim.node().kill();
      Thread.sleep(LOAD.toMillis() / 3);
      mesh.startNode(victim);
      assertKept(mesh, load.join());
      mesh.awaitRoute("/base");
    }
  }

  @Test
  void catchUpAfterPausesAndNeverGoBack() throws Exception {
    try (Mesh mesh = Mesh.start(directory, 4);
        RouteWatch watch = RouteWatch.of(mesh.instances())) {
      watch.add("base");
      final Instance paused = mesh.instances().get(2);
      final var load =
          CompletableFuture.supplyAsync(
              () -> mesh.load("pause", mesh.instances().subList(0, 2), 60, PAUSE));
      paused.node().pause();
      assertThat(mesh.publish(Mesh.route("later")), is(0));
      watch.add("later");
      Thread.sleep(PAUSE.toMillis());
      paused.node().resume();
      assertThat(mesh.awaitRoute("/later"), lessThan(Mesh.CONVERGENCE));
      assertKept(mesh, load.join());
      assertThat(watch.reverted(), empty());
    }
  }

  @Test
  void comeBackToTheirVersionAfterHalfOfThemAreKilledAtOnce() throws Exception {
    try (Mesh mesh = Mesh.start(directory, 6);
        RouteWatch watch = RouteWatch.of(mesh.instances())) {
      for (int i = 0; i < 3; i++) {
        assertThat(mesh.publish(Mesh.route("herd" + i)), is(0));
        watch.add("herd" + i);
      }
      mesh.awaitRoute("/herd2");
      final List<Instance> herd = mesh.instances().subList(3, 6);
      final List<Instance> rest = mesh.instances().subList(0, 3);
      for (Instance instance : herd) {
        instance.node().kill();
      }
      List<Observation> seen = mesh.load("herd", rest, 60, LOAD);
      for (Instance instance : herd) {
        mesh.startNode(instance);
      }
      mesh.awaitRoute("/herd2");
      assertKept(mesh, seen);
      assertThat(watch.reverted(), empty());
    }
  }

  private static void assertKept(Mesh mesh, List<Observation> seen) throws Exception {
    Audit audit = mesh.audit(seen);
    assertThat("ran twice", audit.repeated(), empty());
    assertThat("ran although not run", audit.falselyNotRun(), empty());
    assertThat("not whole or another's", audit.wrongAnswers(), empty());
    assertThat("answered but never ran", audit.unranAnswers(), empty());
    assertThat("answered", LoadSummary.of(seen).ok(), greaterThan(seen.size() / 2L));
  }
}
