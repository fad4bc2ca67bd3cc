package org.cuminlatch.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Membership by gossip")
class MembershipEngineTests {

  private static final int SIZE = 20;

  private final VirtualMembers members =
      new VirtualMembers(7)
          .start("ege", "izmir", 5)
          .start("ege", "aydin", 5)
          .start("marmara", "bursa", 5)
          .start("marmara", "kocaeli", 5);

  @Test
  void bringsAllMembersTogetherFromOneSeed() {
    members.run(15);
    assertThat(members.complete(), is((long) SIZE));
  }

  @Nested
  class OnceTogether {

    @Test
    void spreadsDrainingWithinThreeSeconds() {
      members.run(30);
      members.engine("izmir-1").updatePhase(Phase.DRAINING, members.network.now());
      members.run(3);
      long draining =
          members.engines.values().stream()
              .filter(e -> e.member("izmir-1").orElseThrow().phase() == Phase.DRAINING)
              .count();
      assertThat(draining, is((long) SIZE));
    }

    @Test
    void declaresCrashedMemberDeadEverywhere() {
      members.run(30);
      members.crash("bursa-2");
      members.run(15);
      assertThat(members.knowing("bursa-2"), is(0L));
    }

    @Test
    void blamesNobodyUnderTenPercentLoss() {
      members.run(30);
      members.network.lose(0.1);
      members.run(120);
      assertThat(members.complete(), is((long) SIZE));
    }

    @Test
    void forgetsLeaverWithinThreeSeconds() {
      members.run(30);
      MembershipEngine leaver = members.engine("aydin-3");
      leaver.leave(members.network.now());
      members.run(3);
      members.crash("aydin-3");
      assertThat(members.holding("aydin-3", Status.ALIVE), is(0L));
    }
  }
}
