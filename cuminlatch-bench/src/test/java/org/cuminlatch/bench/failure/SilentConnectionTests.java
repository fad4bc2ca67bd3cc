package org.cuminlatch.bench.failure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.cuminlatch.bench.process.Instance;
import org.cuminlatch.bench.process.Mesh;
import org.cuminlatch.testkit.load.Audit;
import org.cuminlatch.testkit.load.LoadSummary;
import org.cuminlatch.testkit.load.Observation;
import org.cuminlatch.testkit.relay.Relay;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
@DisplayName("Connections to a target that go silent for good")
class SilentConnectionTests {

  private static final Duration LOAD = Duration.ofSeconds(3);

  @TempDir private Path directory;

  @Test
  void breakNoPromiseAndAreReplaced() throws Exception {
    try (Mesh mesh = Mesh.start(directory, 2)) {
      Instance instance = mesh.instances().get(1);
      InetAddress loopback = InetAddress.getLoopbackAddress();
      try (Relay relay = Relay.to(new InetSocketAddress(loopback, instance.targetPort()))) {
        instance.node().kill();
        instance.reachTargetBy(relay.port());
        mesh.startNode(instance);
        mesh.awaitRoute("/base");
        mesh.load("before", mesh.instances(), 60, LOAD);
        relay.silence();
        List<Observation> seen = mesh.load("silent", mesh.instances(), 60, LOAD);
        Audit audit = mesh.audit(seen);
        assertThat("ran twice", audit.repeated(), empty());
        assertThat("ran although not run", audit.falselyNotRun(), empty());
        assertThat("not whole or another's", audit.wrongAnswers(), empty());
        List<Observation> later = mesh.load("later", mesh.instances(), 60, LOAD);
        assertThat("answered later", LoadSummary.of(later).ok(), is((long) later.size()));
      }
    }
  }
}
