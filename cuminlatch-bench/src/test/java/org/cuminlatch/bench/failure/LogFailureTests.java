package org.cuminlatch.bench.failure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.cuminlatch.bench.process.ChildProcess;
import org.cuminlatch.bench.process.Eventually;
import org.cuminlatch.bench.process.Instance;
import org.cuminlatch.bench.process.LoopbackHttp;
import org.cuminlatch.bench.process.ProcessMesh;
import org.cuminlatch.testkit.load.LoadSummary;
import org.cuminlatch.testkit.load.Observation;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
@DisplayName("Failures of the platform's log")
class LogFailureTests {

  private static final Duration LOAD_DURATION = Duration.ofSeconds(4);
  private static final long OUTAGE_MILLIS = 8_000;

  @TempDir private Path directory;

  @Test
  void outageLeavesCallsServedAndNodesCatchUpAfterwards() throws Exception {
    try (ProcessMesh mesh = ProcessMesh.start(directory, 4);
        RouteMonitor monitor = RouteMonitor.of(mesh.instances())) {
      monitor.add("base");
      LoopbackHttp.post(mesh.logPort(), "/admin/outage?millis=" + OUTAGE_MILLIS);
      List<Observation> observations = mesh.load("outage", mesh.instances(), 60, LOAD_DURATION);
      assertThat(LoadSummary.of(observations).ok(), is((long) observations.size()));
      assertThat(mesh.audit(observations).hasNoViolations(), is(true));
      Eventually.await(
          "end of the outage",
          Duration.ofSeconds(20),
          () -> LoopbackHttp.status(mesh.logPort(), "/streams/configuration/records") == 200);
      assertThat(mesh.publish(ProcessMesh.route("after")), is(0));
      assertThat(mesh.awaitRoute("/after"), lessThan(ProcessMesh.CONVERGENCE_TIMEOUT));
      assertThat(monitor.reverted(), empty());
    }
  }

  @Test
  void publicationIsAcceptedWhenItsAnswerIsLost() throws Exception {
    try (ProcessMesh mesh = ProcessMesh.start(directory, 2)) {
      LoopbackHttp.post(mesh.logPort(), "/admin/lose-answers?count=1");
      assertThat(mesh.publish(ProcessMesh.route("lost")), is(0));
      assertThat(mesh.awaitRoute("/lost"), lessThan(ProcessMesh.CONVERGENCE_TIMEOUT));
    }
  }

  @Test
  void sameOneOfTwoConcurrentPublicationsWinsOnEveryNode() throws Exception {
    try (ProcessMesh mesh = ProcessMesh.start(directory, 4)) {
      ChildProcess first = mesh.startPublishing(concurrentRoute("/one"), "--expect", "0");
      ChildProcess second = mesh.startPublishing(concurrentRoute("/two"), "--expect", "0");
      int firstExit = first.waitForExit(60);
      int secondExit = second.waitForExit(60);
      assertThat("exactly one is accepted", firstExit == 0, is(not(secondExit == 0)));
      String acceptedPath = firstExit == 0 ? "/one" : "/two";
      String rejectedPath = firstExit == 0 ? "/two" : "/one";
      assertThat(mesh.awaitRoute(acceptedPath), lessThan(ProcessMesh.CONVERGENCE_TIMEOUT));
      for (Instance instance : mesh.instances()) {
        assertThat(LoopbackHttp.status(instance.httpPort(), rejectedPath), is(404));
      }
    }
  }

  private static String concurrentRoute(String prefix) {
    return ProcessMesh.route("raced")
        .replace("path-prefix = \"/raced\"", "path-prefix = \"" + prefix + "\"");
  }
}
