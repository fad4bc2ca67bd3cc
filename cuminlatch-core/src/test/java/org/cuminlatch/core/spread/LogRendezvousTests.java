package org.cuminlatch.core.spread;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.spread.LogRequests.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Rendezvous by the log")
class LogRendezvousTests {

  private static final long NODES = 40;
  private static final int SIMULTANEOUS = 3;

  private final VirtualMesh mesh = new VirtualMesh(3).withoutSeeds().start(10);

  private long complete() {
    return mesh.nodes.values().stream()
        .filter(node -> node.membership.members().size() == NODES)
        .count();
  }

  @Test
  void bringsNodesWithoutSeedsTogether() {
    mesh.run(60);
    assertThat(complete(), is(NODES));
  }

  @Test
  void letsHerdShareAnAppendBudget() {
    mesh.run(60);
    long appends = mesh.log.end(Stream.RENDEZVOUS);
    int perPeriod = LogRendezvous.BUDGET_APPENDS + SIMULTANEOUS;
    assertThat(appends, lessThanOrEqualTo(2L * perPeriod));
  }

  @Test
  void survivesRecordsOfOthers() {
    mesh.log.append(Stream.RENDEZVOUS, Bytes.copyOf(new byte[] {1}));
    mesh.run(60);
    assertThat(complete(), is(NODES));
  }

  @Test
  void keepsLiveAddressOnTheStream() {
    mesh.run(60);
    long before = mesh.log.end(Stream.RENDEZVOUS);
    mesh.run(900);
    assertThat(mesh.log.end(Stream.RENDEZVOUS) - before, is(3L));
  }
}
