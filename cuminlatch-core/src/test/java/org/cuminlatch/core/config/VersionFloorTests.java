package org.cuminlatch.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The floor of a restarted instance")
class VersionFloorTests {

  private final VersionFloor floor = new VersionFloor();

  @Test
  void preventsReadinessWhileUnknown() {
    Readiness readiness = floor.readiness(7);
    assertThat(readiness.isReady(), is(false));
    assertThat(readiness.reason(), containsString("the floor is unknown"));
  }

  @Test
  void preventsReadinessBelowVersionThatAnyPeerRemembers() {
    floor.onLivePeers(3);
    floor.onPeerAnswer("a", OptionalLong.of(5), 4, true);
    floor.onPeerAnswer("b", OptionalLong.of(9), 4, true);
    floor.onPeerAnswer("c", OptionalLong.empty(), 4, true);
    Readiness readiness = floor.readiness(8);
    assertThat(readiness.isReady(), is(false));
    assertThat(readiness.reason(), is("version 8 is below the floor 9"));
    assertThat(floor.readiness(9).isReady(), is(true));
  }

  @Test
  void preventsReadinessBelowVersionInForceOnPeer() {
    floor.onLivePeers(1);
    floor.onPeerAnswer("a", OptionalLong.empty(), 12, true);
    assertThat(floor.readiness(11).isReady(), is(false));
    assertThat(floor.readiness(12).isReady(), is(true));
  }

  @Test
  void requiresThreePeerAnswersOrAllIfFewerPeersAreAlive() {
    floor.onLivePeers(900);
    floor.onPeerAnswer("a", OptionalLong.of(1), 1, true);
    floor.onPeerAnswer("a", OptionalLong.of(1), 1, true);
    floor.onPeerAnswer("b", OptionalLong.of(1), 1, true);
    assertThat(floor.readiness(1).isReady(), is(false));
    floor.onLivePeers(2);
    assertThat(floor.readiness(1).isReady(), is(true));
  }

  @Test
  void ignoresAnswersOfPeersThatHaveJustStarted() {
    floor.onLivePeers(3);
    for (String peer : new String[] {"a", "b", "c"}) {
      floor.onPeerAnswer(peer, OptionalLong.empty(), 0, false);
    }
    assertThat(floor.readiness(0).isReady(), is(false));
  }

  @Test
  void isFirstEndOfLogIfNoPeerIsAlive() {
    floor.onLogEnd(20);
    assertThat(floor.readiness(19).isReady(), is(false));
    floor.onLogEnd(30);
    assertThat(floor.readiness(20).isReady(), is(true));
  }

  @Test
  void isNotRaisedOnceInstanceIsReady() {
    floor.onLogEnd(0);
    floor.readiness(0);
    floor.onPeerAnswer("a", OptionalLong.of(50), 60, true);
    assertThat(floor.readiness(3).isReady(), is(true));
  }
}
