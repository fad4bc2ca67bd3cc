package org.cuminlatch.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;
import org.cuminlatch.core.membership.MembershipMessage.Gossip;
import org.junit.jupiter.api.BeforeEach;
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

  @Nested
  class AfterDeath {

    private MembershipEngine crashed;

    @BeforeEach
    void crash() {
      members.run(30);
      crashed = members.engine("bursa-2");
      members.crash("bursa-2");
      members.run(15);
    }

    @Test
    void staleGossipDoesNotBringMemberBack() {
      Member stale = crashed.self();
      MembershipEngine hearer = members.engine("izmir-1");
      Update update = new Update.Announcement(stale);
      Address from = members.engine("izmir-2").self().controlAddress();
      hearer.onMessage(from, new Gossip(List.of(update)), members.network.now());
      members.run(5);
      assertThat(members.knowing("bursa-2"), is(0L));
    }

    @Test
    void restartedInstanceIsTakenBackAtOnce() {
      Member last = crashed.self();
      long incarnation = members.network.now().getEpochSecond();
      members.start("bursa-2", last.locality(), last.controlAddress(), incarnation);
      members.run(10);
      assertThat(members.knowing("bursa-2"), is((long) SIZE));
    }

    @Test
    void deadMemberIsForgottenAfterTheRetention() {
      members.run((int) MembershipSettings.defaults().deadRetention().toSeconds() + 30);
      MembershipEngine hearer = members.engine("bursa-1");
      assertThat(hearer.remembers("bursa-2"), is(false));
    }
  }

  @Nested
  class UnderSuspicion {

    @Test
    void liveMemberRefutesWithHigherIncarnation() {
      members.run(30);
      MembershipEngine accused = members.engine("kocaeli-1");
      long incarnation = accused.self().incarnation();
      Update verdict = new Update.Verdict("kocaeli-1", incarnation, Status.SUSPECT);
      MembershipEngine hearer = members.engine("kocaeli-2");
      hearer.onMessage(
          accused.self().controlAddress(), new Gossip(List.of(verdict)), members.network.now());
      members.run(10);
      assertThat(accused.self().incarnation(), is(incarnation + 1));
      assertThat(members.holding("kocaeli-1", Status.ALIVE), is((long) SIZE));
    }

    @Test
    void wronglyDeadMemberComesBackByItself() {
      members.run(30);
      MembershipEngine accused = members.engine("kocaeli-1");
      Update verdict = new Update.Verdict("kocaeli-1", accused.self().incarnation(), Status.DEAD);
      MembershipEngine hearer = members.engine("aydin-1");
      hearer.onMessage(
          accused.self().controlAddress(), new Gossip(List.of(verdict)), members.network.now());
      members.run(20);
      assertThat(members.holding("kocaeli-1", Status.ALIVE), is((long) SIZE));
    }
  }

  @Nested
  class WhenZoneIsLost {

    @Test
    void allItsMembersAreFoundDead() {
      members.run(30);
      for (int i = 0; i < 5; i++) {
        members.crash("aydin-" + i);
      }
      members.run(25);
      for (int i = 0; i < 5; i++) {
        assertThat(members.knowing("aydin-" + i), is(0L));
      }
    }
  }

  @Nested
  class WhenProcessPauses {

    @Test
    void wakingMemberBlamesNobody() {
      members.run(30);
      MembershipEngine paused = members.engine("izmir-3");
      members.pause("izmir-3", true);
      members.run(3);
      members.pause("izmir-3", false);
      members.run(2);
      long suspected = paused.members().stream().filter(m -> m.status() != Status.ALIVE).count();
      assertThat(suspected, is(0L));
    }
  }

  @Nested
  class WhenSeedsAreDown {

    @Test
    void reconnectStormIsSpreadByFullJitter() {
      VirtualMembers herd = new VirtualMembers(9).start("ege", "izmir", 1);
      herd.crash("izmir-0");
      Map<Long, Integer> perSecond = new HashMap<>();
      herd.network.tap(m -> perSecond.merge(herd.network.now().getEpochSecond(), 1, Integer::sum));
      herd.start("ege", "aydin", 100);
      herd.run(10);
      perSecond.clear();
      herd.run(60);
      int busiest = perSecond.values().stream().mapToInt(Integer::intValue).max().orElse(0);
      assertThat(busiest, lessThan(35));
    }
  }

  @Nested
  class Floors {

    @Test
    void restartedMemberLearnsWhatItLastAnnounced() {
      members.run(30);
      MembershipEngine engine = members.engine("izmir-4");
      engine.updateConfiguration(41, "abcdef0123");
      members.run(2);
      Member last = engine.self();
      members.crash("izmir-4");
      members.run(5);
      long incarnation = members.network.now().getEpochSecond();
      MembershipEngine restarted =
          members.start("izmir-4", last.locality(), last.controlAddress(), incarnation);
      members.run(5);
      assertThat(restarted.floor(), is(OptionalLong.of(41)));
    }
  }
}
