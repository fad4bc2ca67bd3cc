package org.cuminlatch.core.spread;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.spread.LogRequests.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Peer discovery through the log")
class LogRendezvousTests {

  private static final long NODES = 40;
  private static final int CONCURRENT_APPENDS = 3;

  private final VirtualMesh mesh = new VirtualMesh(3).withoutSeeds().start(10);

  private long countConverged() {
    return mesh.nodes.values().stream()
        .filter(node -> node.membership.members().size() == NODES)
        .count();
  }

  @Test
  void connectsNodesThatHaveNoSeeds() {
    mesh.run(60);
    assertThat(countConverged(), is(NODES));
  }

  @Test
  void limitsTheAppendsOfNodesThatStartTogether() {
    mesh.run(60);
    long appends = mesh.log.nextOffset(Stream.RENDEZVOUS);
    int maxPerWindow = LogRendezvous.MAX_APPENDS_PER_WINDOW + CONCURRENT_APPENDS;
    assertThat(appends, lessThanOrEqualTo(2L * maxPerWindow));
  }

  @Test
  void ignoresRecordsThatAreNotAnnouncements() {
    mesh.log.append(Stream.RENDEZVOUS, Bytes.copyOf(new byte[] {1}));
    mesh.run(60);
    assertThat(countConverged(), is(NODES));
  }

  @Test
  void reporterAnnouncesItselfPeriodically() {
    mesh.run(60);
    long nextOffsetBefore = mesh.log.nextOffset(Stream.RENDEZVOUS);
    mesh.run(900);
    assertThat(mesh.log.nextOffset(Stream.RENDEZVOUS) - nextOffsetBefore, is(3L));
  }
}
