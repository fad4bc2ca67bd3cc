package org.cuminlatch.core.spread;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.spread.LogRequests.Stream;
import org.cuminlatch.core.spread.SpreadMessage.Records;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("Spread of configuration")
class SpreadEngineTests {

  private static final long NODES = 24;
  private static final int SETTLED = 30;
  private static final int MINUTES = 300;
  private static final int HOUR = 3_600;

  private final VirtualMesh mesh = new VirtualMesh(11).start(6);

  @BeforeEach
  void settle() {
    for (int i = 0; i < 10; i++) {
      mesh.publish();
    }
    mesh.run(SETTLED);
  }

  @Nested
  class InCalm {

    @Test
    void bringsRecordIntoForceEverywhereWithinOneSecond() {
      long version = mesh.publish();
      mesh.run(1);
      assertThat(mesh.withVersion(version), is(NODES));
    }

    @Test
    void readsTheLogByOneNodeInEachRegion() {
      mesh.log.resetReads();
      mesh.run(200);
      assertThat(mesh.log.reads(), lessThan(25));
    }

    @Test
    void countsOnHowManyMembersTheVersionIsInForce() {
      long version = mesh.publish();
      mesh.run(10);
      InForce counted = mesh.nodes.get("bursa-3").spread.inForce();
      assertThat(counted, is(new InForce(version, (int) NODES, (int) NODES)));
    }

    @Test
    void reportsStateThatDiffersAtOneVersion() {
      mesh.nodes.get("kocaeli-4").replica.corrupt();
      mesh.publish();
      mesh.run(10);
      assertThat(mesh.divergences, not(List.of()));
    }

    @Test
    void sendsRecordBetweenZonesOnceForEachHead() {
      AtomicInteger pushes = new AtomicInteger();
      mesh.network.tap(m -> pushes.addAndGet(m instanceof Records ? 1 : 0));
      mesh.publish();
      mesh.run(5);
      assertThat(pushes.get(), is((int) NODES - 2));
    }
  }

  @Nested
  class UnderLoss {

    @Test
    void repairsLostPushesByPulls() {
      mesh.network.setLossRate(0.3);
      long version = mesh.publish();
      mesh.run(15);
      assertThat(mesh.withVersion(version), is(NODES));
    }
  }

  @Nested
  class WhenTheReaderDies {

    @Test
    void standbyTakesOver() {
      mesh.crash(mesh.reader("ege").instance);
      mesh.crash(mesh.reader("marmara").instance);
      long version = mesh.publish();
      mesh.run(15);
      assertThat(mesh.withVersion(version), is(NODES - 2));
    }
  }

  @Nested
  class WhenTheLogIsOutForAnHour {

    @BeforeEach
    void breakTheLog() {
      mesh.log.outage(true);
      mesh.run(MINUTES);
    }

    @Test
    void asksItRarely() {
      mesh.log.resetReads();
      mesh.run(HOUR);
      assertThat(mesh.log.reads(), lessThan(HOUR));
    }

    @Test
    void admitsNewNodesFromPeers() {
      mesh.start("izmir-new", VirtualMesh.IZMIR);
      mesh.run(15);
      assertThat(mesh.nodes.get("izmir-new").replica.version(), is(10L));
    }

    @Test
    void convergesOnWhatSomeNodeHas() {
      VirtualMesh.Node ahead = mesh.nodes.get("izmir-2");
      List<LogRecord> fetched = List.of(new LogRecord(10, Bytes.copyOf(new byte[] {1})));
      ahead.spread.onLogBatch(Stream.CONFIGURATION, 0, 11, fetched, mesh.network.now());
      mesh.run(15);
      assertThat(mesh.withVersion(11), is(NODES));
    }

    @Test
    void takesUpNewRecordsWhenItIsBack() {
      long version = mesh.publish();
      mesh.log.outage(false);
      mesh.run(16);
      assertThat(mesh.withVersion(version), is(NODES));
    }
  }

  @Nested
  class WhenTheRegionsAreCutForAnHour {

    @BeforeEach
    void cut() {
      mesh.cutRegions();
      mesh.run(MINUTES);
    }

    @Test
    void theRegionOfTheLogGoesOn() {
      long version = mesh.publish();
      mesh.run(3);
      assertThat(mesh.withVersion("ege", version), is(NODES / 2));
      assertThat(mesh.withVersion("marmara", version), is(0L));
    }

    @Test
    void theOtherRegionCatchesUpOnceHealed() {
      final long version = mesh.publish();
      mesh.run(HOUR);
      mesh.heal();
      mesh.run(15);
      assertThat(mesh.withVersion(version), is(NODES));
    }

    @Test
    void nobodyIsDeclaredDeadForIt() {
      Member member = mesh.nodes.get("izmir-1").membership.member("bursa-1").orElseThrow();
      assertThat(member.status(), not(Member.Status.DEAD));
    }
  }

  @Nested
  class AfterHerdRestart {

    @ParameterizedTest(name = "of {0}")
    @CsvSource({"all, .*", "half, .*[024]", "one zone, izmir.*"})
    void everyNodeComesBackToTheNewestVersion(String what, String pattern) {
      mesh.restart(node -> node.instance.matches(pattern), Duration.ofSeconds(3));
      mesh.run(1);
      long version = mesh.publish();
      mesh.run(14);
      assertThat(mesh.withVersion(version), is(NODES));
    }

    @Test
    void zoneLearnsItsFloorFromOtherZones() {
      mesh.restart(node -> node.locality.equals(VirtualMesh.IZMIR), Duration.ofSeconds(3));
      mesh.run(15);
      for (int i = 0; i < 6; i++) {
        VirtualMesh.Node node = mesh.nodes.get("izmir-" + i);
        assertThat(node.membership.floor().orElse(-1), is(10L));
        boolean fromOtherZone =
            node.membership.floorAnswers().stream()
                .anyMatch(a -> a.rememberedVersion() == 10 && !a.instance().startsWith("izmir"));
        assertThat(fromOtherZone, is(true));
      }
    }
  }

  @Nested
  class Checkpoints {

    private final VirtualMesh checkpointed =
        new VirtualMesh(5).settings(checkpointEvery(20)).start(2);

    private static SpreadSettings checkpointEvery(int records) {
      SpreadSettings s = SpreadSettings.defaults();
      return new SpreadSettings(
          s.fanOut(),
          s.heartbeatInterval(),
          s.heartbeatsPerZoneRound(),
          s.longPoll(),
          s.standbyAfter(),
          s.backoffBase(),
          s.backoffLimit(),
          s.startGrace(),
          s.pullGrace(),
          s.pullTimeout(),
          s.bytesPerSecond(),
          s.burstBytes(),
          records,
          s.checkpointInterval());
    }

    @BeforeEach
    void publishMany() {
      checkpointed.run(20);
      for (int i = 0; i < 100; i++) {
        checkpointed.publish();
        checkpointed.run(1);
      }
    }

    @Test
    void areWrittenByOneNode() {
      long written = checkpointed.log.end(Stream.CHECKPOINTS);
      assertThat(written, is(5L));
    }

    @Test
    void areRenewedByAgeEvenWithoutNewRecords() {
      final long before = checkpointed.log.end(Stream.CHECKPOINTS);
      checkpointed.run((int) SpreadSettings.defaults().checkpointInterval().toSeconds() + 30);
      assertThat(checkpointed.log.end(Stream.CHECKPOINTS), is(before + 1));
    }

    @Test
    void areWrittenAgainWhenTheAnswerIsLost() {
      final long before = checkpointed.log.end(Stream.CHECKPOINTS);
      checkpointed.log.loseAnswersOfAppends(true);
      for (int i = 0; i < 20; i++) {
        checkpointed.publish();
      }
      checkpointed.run(3);
      checkpointed.log.loseAnswersOfAppends(false);
      checkpointed.run(30);
      List<Bytes> written =
          checkpointed.log.records(Stream.CHECKPOINTS).stream()
              .skip(before)
              .map(LogRecord::content)
              .toList();
      assertThat(written.size(), greaterThan(1));
      assertThat(written.stream().distinct().count(), is(1L));
    }

    @Test
    void startMeshWhoseLogHasPassedTheFirstRecords() {
      checkpointed.log.retain(Stream.CONFIGURATION, 30);
      checkpointed.restart(node -> true, Duration.ofSeconds(1));
      checkpointed.run(20);
      assertThat(checkpointed.withVersion(100), is(8L));
    }

    @Test
    void areSkippedWhenCorrupt() {
      Bytes garbage = Bytes.copyOf("checkpoint 9".getBytes(StandardCharsets.UTF_8));
      checkpointed.log.append(Stream.CHECKPOINTS, garbage);
      checkpointed.log.retain(Stream.CONFIGURATION, 30);
      checkpointed.restart(node -> true, Duration.ofSeconds(1));
      checkpointed.run(20);
      assertThat(checkpointed.withVersion(100), is(8L));
      assertThat(checkpointed.refusals.isEmpty(), is(false));
    }

    @Test
    void reachNodeThatSleptPastTheRetention() {
      VirtualMesh.Node sleeper = checkpointed.nodes.get("bursa-1");
      sleeper.sleep(true);
      for (int i = 0; i < 2 * FakeReplica.RETAINED; i++) {
        checkpointed.publish();
        checkpointed.run(1);
      }
      checkpointed.log.retain(Stream.CONFIGURATION, 10);
      sleeper.sleep(false);
      checkpointed.run(15);
      assertThat(sleeper.replica.version(), is(200L));
    }
  }

  @Nested
  class NeverGoesBack {

    @Test
    void whenTheLogEndsBelowTheOwnVersion() {
      VirtualMesh.Node reader = mesh.reader("ege");
      reader.spread.onLogBatch(Stream.CONFIGURATION, 0, 4, List.of(), mesh.network.now());
      assertThat(reader.replica.version(), is(10L));
      assertThat(mesh.refusals, hasItem("the log ends at 4 but version 10 is held"));
    }

    @Test
    void whenPeerSendsOlderCheckpoint() {
      VirtualMesh.Node node = mesh.nodes.get("aydin-1");
      Bytes older = Bytes.copyOf("checkpoint 4 1".getBytes(StandardCharsets.UTF_8));
      node.spread.onMessage(
          node.address, new SpreadMessage.Checkpoint(4, older), mesh.network.now());
      assertThat(node.replica.version(), equalTo(10L));
    }

    @Test
    void whenOffsetsJump() {
      mesh.log.jump(Stream.CONFIGURATION, 3);
      mesh.publish();
      mesh.run(3);
      assertThat(mesh.withVersion(10), is(NODES));
      assertThat(mesh.withVersion(11), is(0L));
      assertThat(mesh.refusals, hasItem("offset 10 expected but 13 found"));
    }
  }

  @Nested
  class ByteBudgets {

    @Test
    void limitWhatPullsCost() {
      VirtualMesh.Node node = mesh.nodes.get("aydin-1");
      final int burst = SpreadSettings.defaults().burstBytes();
      Bytes large = Bytes.copyOf(new byte[16 * 1024]);
      node.spread.onLogBatch(
          Stream.CONFIGURATION, 0, 11, List.of(new LogRecord(10, large)), mesh.network.now());
      AtomicInteger answers = new AtomicInteger();
      mesh.network.tap(m -> answers.addAndGet(m instanceof Records r && !r.pushed() ? 1 : 0));
      for (int i = 0; i < 100; i++) {
        node.spread.onMessage(node.address, new SpreadMessage.Pull(10), mesh.network.now());
      }
      assertThat(answers.get() * large.length(), lessThan(burst + large.length()));
    }
  }

  @Test
  void ranksOneReaderInEachRegion() {
    List<String> readers =
        mesh.nodes.values().stream()
            .filter(node -> node.spread.isReader())
            .map(node -> node.locality.region())
            .sorted()
            .toList();
    assertThat(readers, contains("ege", "marmara"));
  }
}
