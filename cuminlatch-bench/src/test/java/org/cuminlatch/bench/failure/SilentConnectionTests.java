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
import org.cuminlatch.bench.process.ProcessMesh;
import org.cuminlatch.testkit.load.Audit;
import org.cuminlatch.testkit.load.LoadSummary;
import org.cuminlatch.testkit.load.Observation;
import org.cuminlatch.testkit.relay.Relay;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
@DisplayName("Connections to a target that stop responding permanently")
class SilentConnectionTests {

  private static final Duration LOAD_DURATION = Duration.ofSeconds(3);

  @TempDir private Path directory;

  @Test
  void guaranteesHoldAndSilentConnectionsAreReplaced() throws Exception {
    try (ProcessMesh mesh = ProcessMesh.start(directory, 2)) {
      Instance instance = mesh.instances().get(1);
      InetAddress loopback = InetAddress.getLoopbackAddress();
      try (Relay relay = Relay.to(new InetSocketAddress(loopback, instance.targetPort()))) {
        instance.node().kill();
        instance.setNodeTargetPort(relay.port());
        mesh.startNode(instance);
        mesh.awaitRoute("/base");
        mesh.load("before", mesh.instances(), 60, LOAD_DURATION);
        relay.silence();
        List<Observation> observations = mesh.load("silent", mesh.instances(), 60, LOAD_DURATION);
        Audit audit = mesh.audit(observations);
        assertThat("executed twice", audit.repeated(), empty());
        assertThat("executed although reported as not run", audit.falselyNotRun(), empty());
        assertThat("incomplete or another request's answer", audit.wrongAnswers(), empty());
        List<Observation> laterObservations =
            mesh.load("later", mesh.instances(), 60, LOAD_DURATION);
        assertThat(
            "answered after the connections were replaced",
            LoadSummary.of(laterObservations).ok(),
            is((long) laterObservations.size()));
      }
    }
  }
}
