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

@DisplayName("Distribution of configuration")
class SpreadEngineTests {

  private static final long NODES = 24;
  private static final int SETTLING_SECONDS = 30;
  private static final int FIVE_MINUTES_IN_SECONDS = 300;
  private static final int HOUR_IN_SECONDS = 3_600;

  private final VirtualMesh mesh = new VirtualMesh(11).start(6);

  @BeforeEach
  void publishAndConverge() {
    for (int i = 0; i < 10; i++) {
      mesh.publish();
    }
    mesh.run(SETTLING_SECONDS);
  }

  @Nested
  class WithoutFaults {

    @Test
    void recordIsInForceOnAllNodesWithinOneSecond() {
      long version = mesh.publish();
      mesh.run(1);
      assertThat(mesh.countWithVersion(version), is(NODES));
    }

    @Test
    void oneNodePerRegionReadsTheLog() {
      mesh.log.resetReads();
      mesh.run(200);
      assertThat(mesh.log.reads(), lessThan(25));
    }

    @Test
    void nodesReceiveTheCountOfMembersWithTheVersionInForce() {
      long version = mesh.publish();
      mesh.run(10);
      InForce counted = mesh.nodes.get("bursa-3").spread.inForce();
      assertThat(counted, is(new InForce(version, (int) NODES, (int) NODES)));
    }

    @Test
    void divergentStateAtTheSameVersionIsReported() {
      mesh.nodes.get("kocaeli-4").replica.corrupt();
      mesh.publish();
      mesh.run(10);
      assertThat(mesh.divergences, not(List.of()));
    }

    @Test
    void recordIsPushedOnceToEachNodeExceptTheReaders() {
      AtomicInteger pushes = new AtomicInteger();
      mesh.network.tap(m -> pushes.addAndGet(m instanceof Records ? 1 : 0));
      mesh.publish();
      mesh.run(5);
      assertThat(pushes.get(), is((int) NODES - 2));
    }
  }

  @Nested
  class UnderMessageLoss {

    @Test
    void lostPushesAreRepairedByPulls() {
      mesh.network.setLossRate(0.3);
      long version = mesh.publish();
      mesh.run(15);
      assertThat(mesh.countWithVersion(version), is(NODES));
    }
  }

  @Nested
  class WhenTheReadersCrash {

    @Test
    void standbysTakeOver() {
      mesh.crash(mesh.reader("ege").instance);
      mesh.crash(mesh.reader("marmara").instance);
      long version = mesh.publish();
      mesh.run(15);
      assertThat(mesh.countWithVersion(version), is(NODES - 2));
    }
  }

  @Nested
  class WhenTheLogIsUnavailable {

    @BeforeEach
    void startOutage() {
      mesh.log.setOutage(true);
      mesh.run(FIVE_MINUTES_IN_SECONDS);
    }

    @Test
    void readsOfAllNodesStayBelowOnePerSecond() {
      mesh.log.resetReads();
      mesh.run(HOUR_IN_SECONDS);
      assertThat(mesh.log.reads(), lessThan(HOUR_IN_SECONDS));
    }

    @Test
    void newNodeGetsItsConfigurationFromPeers() {
      mesh.start("izmir-new", VirtualMesh.IZMIR);
      mesh.run(15);
      assertThat(mesh.nodes.get("izmir-new").replica.version(), is(10L));
    }

    @Test
    void allNodesConvergeOnTheNewestVersionThatOneNodeHas() {
      VirtualMesh.Node ahead = mesh.nodes.get("izmir-2");
      List<LogRecord> fetched = List.of(new LogRecord(10, Bytes.copyOf(new byte[] {1})));
      ahead.spread.onLogBatch(Stream.CONFIGURATION, 0, 11, fetched, mesh.network.now());
      mesh.run(15);
      assertThat(mesh.countWithVersion(11), is(NODES));
    }

    @Test
    void newRecordsAreReadAfterTheOutage() {
      long version = mesh.publish();
      mesh.log.setOutage(false);
      mesh.run(16);
      assertThat(mesh.countWithVersion(version), is(NODES));
    }
  }

  @Nested
  class WhenTheRegionsArePartitioned {

    @BeforeEach
    void partition() {
      mesh.partitionRegions();
      mesh.run(FIVE_MINUTES_IN_SECONDS);
    }

    @Test
    void onlyTheRegionOfTheLogReceivesNewRecords() {
      long version = mesh.publish();
      mesh.run(3);
      assertThat(mesh.countWithVersion("ege", version), is(NODES / 2));
      assertThat(mesh.countWithVersion("marmara", version), is(0L));
    }

    @Test
    void theOtherRegionCatchesUpAfterAnHourOfPartition() {
      final long version = mesh.publish();
      mesh.run(HOUR_IN_SECONDS);
      mesh.heal();
      mesh.run(15);
      assertThat(mesh.countWithVersion(version), is(NODES));
    }

    @Test
    void membersOfTheOtherRegionAreNotDeclaredDead() {
      Member member = mesh.nodes.get("izmir-1").membership.member("bursa-1").orElseThrow();
      assertThat(member.status(), not(Member.Status.DEAD));
    }
  }

  @Nested
  class AfterMassRestart {

    @ParameterizedTest(name = "of {0}")
    @CsvSource({"all, .*", "half, .*[024]", "one zone, izmir.*"})
    void allNodesConvergeOnTheNewestVersion(String restartedNodes, String pattern) {
      mesh.restart(node -> node.instance.matches(pattern), Duration.ofSeconds(3));
      mesh.run(1);
      long version = mesh.publish();
      mesh.run(14);
      assertThat(mesh.countWithVersion(version), is(NODES));
    }

    @Test
    void zoneGetsItsFloorsFromOtherZones() {
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

    private final VirtualMesh checkpointingMesh =
        new VirtualMesh(5).settings(checkpointEvery(20)).start(2);

    private static SpreadSettings checkpointEvery(int records) {
      SpreadSettings defaults = SpreadSettings.defaults();
      return new SpreadSettings(
          defaults.fanOut(),
          defaults.heartbeatInterval(),
          defaults.heartbeatsPerZoneRound(),
          defaults.longPollTimeout(),
          defaults.standbyTimeout(),
          defaults.backoffBase(),
          defaults.backoffLimit(),
          defaults.startGrace(),
          defaults.pullGrace(),
          defaults.pullTimeout(),
          defaults.bytesPerSecond(),
          defaults.burstBytes(),
          records,
          defaults.checkpointInterval());
    }

    @BeforeEach
    void publishMany() {
      checkpointingMesh.run(20);
      for (int i = 0; i < 100; i++) {
        checkpointingMesh.publish();
        checkpointingMesh.run(1);
      }
    }

    @Test
    void areWrittenByOneNode() {
      long written = checkpointingMesh.log.nextOffset(Stream.CHECKPOINTS);
      assertThat(written, is(5L));
    }

    @Test
    void areWrittenAfterTheIntervalWithoutNewRecords() {
      final long countBefore = checkpointingMesh.log.nextOffset(Stream.CHECKPOINTS);
      checkpointingMesh.run((int) SpreadSettings.defaults().checkpointInterval().toSeconds() + 30);
      assertThat(checkpointingMesh.log.nextOffset(Stream.CHECKPOINTS), is(countBefore + 1));
    }

    @Test
    void areAppendedAgainWithTheSameContentAfterLostAnswers() {
      final long countBefore = checkpointingMesh.log.nextOffset(Stream.CHECKPOINTS);
      checkpointingMesh.log.loseAppendAnswers(true);
      for (int i = 0; i < 20; i++) {
        checkpointingMesh.publish();
      }
      checkpointingMesh.run(3);
      checkpointingMesh.log.loseAppendAnswers(false);
      checkpointingMesh.run(30);
      List<Bytes> written =
          checkpointingMesh.log.records(Stream.CHECKPOINTS).stream()
              .skip(countBefore)
              .map(LogRecord::content)
              .toList();
      assertThat(written.size(), greaterThan(1));
      assertThat(written.stream().distinct().count(), is(1L));
    }

    @Test
    void restoreNodesWhenTheLogNoLongerRetainsTheFirstRecords() {
      checkpointingMesh.log.retain(Stream.CONFIGURATION, 30);
      checkpointingMesh.restart(node -> true, Duration.ofSeconds(1));
      checkpointingMesh.run(20);
      assertThat(checkpointingMesh.countWithVersion(100), is(8L));
    }

    @Test
    void areSkippedWhenCorrupt() {
      Bytes corrupt = Bytes.copyOf("checkpoint 9".getBytes(StandardCharsets.UTF_8));
      checkpointingMesh.log.append(Stream.CHECKPOINTS, corrupt);
      checkpointingMesh.log.retain(Stream.CONFIGURATION, 30);
      checkpointingMesh.restart(node -> true, Duration.ofSeconds(1));
      checkpointingMesh.run(20);
      assertThat(checkpointingMesh.countWithVersion(100), is(8L));
      assertThat(checkpointingMesh.refusals.isEmpty(), is(false));
    }

    @Test
    void restoreNodeThatWasPausedPastTheRetention() {
      VirtualMesh.Node pausedNode = checkpointingMesh.nodes.get("bursa-1");
      pausedNode.pause(true);
      for (int i = 0; i < 2 * FakeReplica.MAX_RETAINED_RECORDS; i++) {
        checkpointingMesh.publish();
        checkpointingMesh.run(1);
      }
      checkpointingMesh.log.retain(Stream.CONFIGURATION, 10);
      pausedNode.pause(false);
      checkpointingMesh.run(15);
      assertThat(pausedNode.replica.version(), is(200L));
    }
  }

  @Nested
  class NeverDecreasesItsVersion {

    @Test
    void whenTheLogEndsBelowItsVersion() {
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
    void whenTheLogSkipsOffsets() {
      mesh.log.skipOffsets(Stream.CONFIGURATION, 3);
      mesh.publish();
      mesh.run(3);
      assertThat(mesh.countWithVersion(10), is(NODES));
      assertThat(mesh.countWithVersion(11), is(0L));
      assertThat(mesh.refusals, hasItem("offset 10 expected but 13 found"));
    }
  }

  @Nested
  class ByteBudgetOfNode {

    @Test
    void limitsTheBytesSentInAnswerToPulls() {
      VirtualMesh.Node node = mesh.nodes.get("aydin-1");
      final int burstBytes = SpreadSettings.defaults().burstBytes();
      Bytes large = Bytes.copyOf(new byte[16 * 1024]);
      node.spread.onLogBatch(
          Stream.CONFIGURATION, 0, 11, List.of(new LogRecord(10, large)), mesh.network.now());
      AtomicInteger answers = new AtomicInteger();
      mesh.network.tap(m -> answers.addAndGet(m instanceof Records r && !r.pushed() ? 1 : 0));
      for (int i = 0; i < 100; i++) {
        node.spread.onMessage(node.address, new SpreadMessage.Pull(10), mesh.network.now());
      }
      assertThat(answers.get() * large.length(), lessThan(burstBytes + large.length()));
    }
  }

  @Test
  void selectsOneReaderInEachRegion() {
    List<String> readers =
        mesh.nodes.values().stream()
            .filter(node -> node.spread.isReader())
            .map(node -> node.locality.region())
            .sorted()
            .toList();
    assertThat(readers, contains("ege", "marmara"));
  }
}
