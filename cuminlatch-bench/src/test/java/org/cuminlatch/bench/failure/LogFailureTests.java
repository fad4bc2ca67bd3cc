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
import org.cuminlatch.bench.process.Http;
import org.cuminlatch.bench.process.Instance;
import org.cuminlatch.bench.process.Mesh;
import org.cuminlatch.testkit.load.LoadSummary;
import org.cuminlatch.testkit.load.Observation;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
@DisplayName("Faults of the platform's log")
class LogFailureTests {

  private static final Duration LOAD = Duration.ofSeconds(4);
  private static final long OUTAGE_MILLIS = 8_000;

  @TempDir private Path directory;

  @Test
  void leaveCallersServedDuringAnOutageAndAreCaughtUpWith() throws Exception {
    try (Mesh mesh = Mesh.start(directory, 4);
        RouteWatch watch = RouteWatch.of(mesh.instances())) {
      watch.add("base");
      Http.post(mesh.logPort(), "/admin/outage?millis=" + OUTAGE_MILLIS);
      List<Observation> seen = mesh.load("outage", mesh.instances(), 60, LOAD);
      assertThat(LoadSummary.of(seen).ok(), is((long) seen.size()));
      assertThat(mesh.audit(seen).hasNoViolations(), is(true));
      Eventually.seen(
          "end of the outage",
          Duration.ofSeconds(20),
          () -> Http.status(mesh.logPort(), "/streams/configuration/records") == 200);
      assertThat(mesh.publish(Mesh.route("after")), is(0));
      assertThat(mesh.awaitRoute("/after"), lessThan(Mesh.CONVERGENCE));
      assertThat(watch.reverted(), empty());
    }
  }

  @Test
  void loseNoPublicationWhoseAnswerIsLost() throws Exception {
    try (Mesh mesh = Mesh.start(directory, 2)) {
      Http.post(mesh.logPort(), "/admin/lose-answers?count=1");
      assertThat(mesh.publish(Mesh.route("lost")), is(0));
      assertThat(mesh.awaitRoute("/lost"), lessThan(Mesh.CONVERGENCE));
    }
  }

  @Test
  void letOneOfTwoRacingOperatorsWinEverywhere() throws Exception {
    try (Mesh mesh = Mesh.start(directory, 4)) {
      ChildProcess one = mesh.startPublishing(racing("/one"), "--expect", "0");
      ChildProcess two = mesh.startPublishing(racing("/two"), "--expect", "0");
      int exitOne = one.join(60);
      int exitTwo = two.join(60);
      assertThat("exactly one is accepted", exitOne == 0, is(not(exitTwo == 0)));
      String winner = exitOne == 0 ? "/one" : "/two";
      String loser = exitOne == 0 ? "/two" : "/one";
      assertThat(mesh.awaitRoute(winner), lessThan(Mesh.CONVERGENCE));
      for (Instance instance : mesh.instances()) {
        assertThat(Http.status(instance.httpPort(), loser), is(404));
      }
    }
  }

  private static String racing(String prefix) {
    return Mesh.route("raced")
        .replace("path-prefix = \"/raced\"", "path-prefix = \"" + prefix + "\"");
  }
}
