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

@DisplayName("Gossip membership")
class MembershipEngineTests {

  private static final int MEMBERS = 20;

  private final VirtualMembership members =
      new VirtualMembership(7)
          .start("ege", "izmir", 5)
          .start("ege", "aydin", 5)
          .start("marmara", "bursa", 5)
          .start("marmara", "kocaeli", 5);

  @Test
  void joinsAllMembersThroughOneSeed() {
    members.run(15);
    assertThat(members.countConverged(), is((long) MEMBERS));
  }

  @Nested
  class AfterConvergence {

    @Test
    void drainingPhaseReachesAllMembersWithinThreeSeconds() {
      members.run(30);
      members.engine("izmir-1").updatePhase(Phase.DRAINING, members.network.now());
      members.run(3);
      long draining =
          members.engines.values().stream()
              .filter(e -> e.member("izmir-1").orElseThrow().phase() == Phase.DRAINING)
              .count();
      assertThat(draining, is((long) MEMBERS));
    }

    @Test
    void crashedMemberIsDeclaredDeadByAllMembers() {
      members.run(30);
      members.crash("bursa-2");
      members.run(15);
      assertThat(members.countListing("bursa-2"), is(0L));
    }

    @Test
    void noMemberIsDeclaredDeadUnderTenPercentMessageLoss() {
      members.run(30);
      members.network.setLossRate(0.1);
      members.run(120);
      assertThat(members.countConverged(), is((long) MEMBERS));
    }

    @Test
    void leavingMemberIsRemovedByAllMembersWithinThreeSeconds() {
      members.run(30);
      MembershipEngine leavingMember = members.engine("aydin-3");
      leavingMember.leave(members.network.now());
      members.run(3);
      members.crash("aydin-3");
      assertThat(members.countWithStatus("aydin-3", Status.ALIVE), is(0L));
    }
  }

  @Nested
  class AfterMemberCrash {

    private MembershipEngine crashed;

    @BeforeEach
    void crash() {
      members.run(30);
      crashed = members.engine("bursa-2");
      members.crash("bursa-2");
      members.run(15);
    }

    @Test
    void staleGossipDoesNotReviveDeadMember() {
      Member staleFacts = crashed.self();
      MembershipEngine receiver = members.engine("izmir-1");
      Update update = new Update.Announcement(staleFacts);
      Address from = members.engine("izmir-2").self().controlAddress();
      receiver.onMessage(from, new Gossip(List.of(update)), members.network.now());
      members.run(5);
      assertThat(members.countListing("bursa-2"), is(0L));
    }

    @Test
    void restartedInstanceRejoinsWithinTenSeconds() {
      Member lastFacts = crashed.self();
      long incarnation = members.network.now().getEpochSecond();
      members.start("bursa-2", lastFacts.locality(), lastFacts.controlAddress(), incarnation);
      members.run(10);
      assertThat(members.countListing("bursa-2"), is((long) MEMBERS));
    }

    @Test
    void deadMemberIsRemovedAfterItsRetention() {
      members.run((int) MembershipSettings.defaults().deadRetention().toSeconds() + 30);
      MembershipEngine receiver = members.engine("bursa-1");
      assertThat(receiver.retains("bursa-2"), is(false));
    }
  }

  @Nested
  class WhenVerdictIsWrong {

    @Test
    void suspectedMemberRefutesWithHigherIncarnation() {
      members.run(30);
      MembershipEngine liveMember = members.engine("kocaeli-1");
      long incarnation = liveMember.self().incarnation();
      Update verdict = new Update.Verdict("kocaeli-1", incarnation, Status.SUSPECT);
      MembershipEngine receiver = members.engine("kocaeli-2");
      receiver.onMessage(
          liveMember.self().controlAddress(), new Gossip(List.of(verdict)), members.network.now());
      members.run(10);
      assertThat(liveMember.self().incarnation(), is(incarnation + 1));
      assertThat(members.countWithStatus("kocaeli-1", Status.ALIVE), is((long) MEMBERS));
    }

    @Test
    void memberWronglyDeclaredDeadRejoinsByItself() {
      members.run(30);
      MembershipEngine liveMember = members.engine("kocaeli-1");
      Update verdict =
          new Update.Verdict("kocaeli-1", liveMember.self().incarnation(), Status.DEAD);
      MembershipEngine receiver = members.engine("aydin-1");
      receiver.onMessage(
          liveMember.self().controlAddress(), new Gossip(List.of(verdict)), members.network.now());
      members.run(20);
      assertThat(members.countWithStatus("kocaeli-1", Status.ALIVE), is((long) MEMBERS));
    }
  }

  @Nested
  class WhenZoneFails {

    @Test
    void allItsMembersAreDeclaredDead() {
      members.run(30);
      for (int i = 0; i < 5; i++) {
        members.crash("aydin-" + i);
      }
      members.run(25);
      for (int i = 0; i < 5; i++) {
        assertThat(members.countListing("aydin-" + i), is(0L));
      }
    }
  }

  @Nested
  class WhenProcessPauses {

    @Test
    void resumedMemberSuspectsNobody() {
      members.run(30);
      MembershipEngine pausedMember = members.engine("izmir-3");
      members.pause("izmir-3", true);
      members.run(3);
      members.pause("izmir-3", false);
      members.run(2);
      long suspected =
          pausedMember.members().stream().filter(m -> m.status() != Status.ALIVE).count();
      assertThat(suspected, is(0L));
    }
  }

  @Nested
  class WhenSeedsAreDown {

    @Test
    void joinAttemptsAreSpreadByFullJitter() {
      VirtualMembership joining = new VirtualMembership(9).start("ege", "izmir", 1);
      joining.crash("izmir-0");
      Map<Long, Integer> messagesPerSecond = new HashMap<>();
      joining.network.tap(
          m -> messagesPerSecond.merge(joining.network.now().getEpochSecond(), 1, Integer::sum));
      joining.start("ege", "aydin", 100);
      joining.run(10);
      messagesPerSecond.clear();
      joining.run(60);
      int maxMessagesPerSecond =
          messagesPerSecond.values().stream().mapToInt(Integer::intValue).max().orElse(0);
      assertThat(maxMessagesPerSecond, lessThan(35));
    }
  }

  @Nested
  class Floors {

    @Test
    void restartedMemberRecoversItsLastAnnouncedVersion() {
      members.run(30);
      MembershipEngine engine = members.engine("izmir-4");
      engine.updateConfiguration(41, "abcdef0123");
      members.run(2);
      Member lastFacts = engine.self();
      members.crash("izmir-4");
      members.run(5);
      long incarnation = members.network.now().getEpochSecond();
      MembershipEngine restarted =
          members.start("izmir-4", lastFacts.locality(), lastFacts.controlAddress(), incarnation);
      members.run(5);
      assertThat(restarted.floor(), is(OptionalLong.of(41)));
    }
  }
}
