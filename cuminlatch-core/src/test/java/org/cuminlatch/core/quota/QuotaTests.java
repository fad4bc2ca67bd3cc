package org.cuminlatch.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cuminlatch.core.config.ClientAccount.Quota;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Quotas over all nodes in virtual time. The load of an account is given by its quota: usual demand
 * is 1 / 1.6 of the rate, and an account that floods sends nine times its usual.
 */
@DisplayName("Quotas over all nodes")
class QuotaTests {

  private static final String LARGE = "large";
  private static final String SMALL = "small";
  private static final Quota LARGE_QUOTA = new Quota(288, 288);
  private static final Quota SMALL_QUOTA = new Quota(3, 3);

  private static List<Integer> all(int size) {
    return IntStream.range(0, size).boxed().toList();
  }

  private static double usual(Quota quota) {
    return quota.perSecond() / 1.6;
  }

  /** A mesh with a large account at all nodes and a small one at two of them. */
  private static QuotaSimulation mesh(int size, double largeFactor, double smallFactor) {
    QuotaSimulation mesh = new QuotaSimulation(7, size);
    mesh.setQuota(LARGE, LARGE_QUOTA);
    mesh.setQuota(SMALL, SMALL_QUOTA);
    mesh.startAllWithin(1.0);
    mesh.offer(
        LARGE, all(size), second -> usual(LARGE_QUOTA) * (second >= 10 ? largeFactor : 1), 30);
    mesh.offer(
        SMALL,
        List.of(0, size - 1),
        second -> usual(SMALL_QUOTA) * (second >= 10 ? smallFactor : 1),
        30);
    return mesh;
  }

  /** Returns a shorter time for the largest mesh, whose play takes seconds of processor time. */
  private static int end(int size) {
    return size > 100 ? 16 : 28;
  }

  private static void assertBound(QuotaSimulation mesh) {
    assertThat(
        (double) mesh.worstPeriod(LARGE, 0),
        is(lessThanOrEqualTo(QuotaBounds.maxPerPeriod(LARGE_QUOTA))));
    assertThat(
        (double) mesh.worstPeriod(SMALL, 0),
        is(lessThanOrEqualTo(QuotaBounds.maxPerPeriod(SMALL_QUOTA))));
  }

  @Nested
  @DisplayName("in calm")
  class Calm {

    /** Guards against requests within the quota that are refused, which is value lost. */
    @ParameterizedTest
    @ValueSource(ints = {3, 70, 900})
    void refuseNothingBelowTheLimit(int size) {
      QuotaSimulation mesh = mesh(size, 1, 1);
      int end = size > 100 ? 9 : 20; // the largest mesh takes seconds of processor time
      mesh.runUntil(end);
      assertThat(mesh.refused(LARGE, 3, end), is(0));
      assertThat(mesh.refused(SMALL, 3, end), is(0));
      assertBound(mesh);
    }

    /** Guards against a limit that is not reached because tokens lie unused at nodes. */
    @ParameterizedTest
    @ValueSource(ints = {3, 70, 900})
    void reachTheLimitUnderFlood(int size) {
      QuotaSimulation mesh = mesh(size, 9, 9);
      int end = end(size);
      mesh.runUntil(end);
      double nominal = (end - 10) * (LARGE_QUOTA.perSecond() + LARGE_QUOTA.burst() / 5);
      assertThat((double) mesh.accepted(LARGE, 10, end), is(greaterThanOrEqualTo(0.97 * nominal)));
      double nominalSmall = (end - 10) * (SMALL_QUOTA.perSecond() + SMALL_QUOTA.burst() / 5);
      assertThat(
          (double) mesh.accepted(SMALL, 10, end), is(greaterThanOrEqualTo(0.95 * nominalSmall)));
      assertBound(mesh);
    }

    /** Guards against quotas without burst that are cut to what nodes happen to hold. */
    @Test
    void reachTheLimitWithoutBurst() {
      QuotaSimulation mesh = new QuotaSimulation(3, 70);
      Quota quota = new Quota(100, 0);
      mesh.setQuota(LARGE, quota);
      mesh.startAllWithin(1.0);
      mesh.offer(LARGE, all(70), second -> 400, 20);
      mesh.runUntil(20);
      assertThat(mesh.accepted(LARGE, 5, 20), is(greaterThan(1400)));
      assertThat(
          (double) mesh.worstPeriod(LARGE, 0),
          is(lessThanOrEqualTo(QuotaBounds.maxPerPeriod(quota))));
    }

    /** Guards against messages that grow with the number of requests. */
    @Test
    void needFewFrames() {
      QuotaSimulation mesh = mesh(70, 1, 1);
      mesh.runUntil(20);
      assertThat(mesh.frames() / 20.0 / 70, is(lessThan(10.0)));
    }

    /** Guards against tokens that are lost with requests that targets refuse. */
    @Test
    void giveBackTokensOfRefusedRequests() {
      QuotaSimulation mesh = mesh(70, 2, 1);
      mesh.refuseShare(0.5);
      mesh.runUntil(30);
      assertThat(
          (double) mesh.accepted(LARGE, 15, 30),
          is(greaterThanOrEqualTo(0.9 * 0.5 * mesh.offered(LARGE, 15, 30))));
      assertBound(mesh);
    }
  }

  @Nested
  @DisplayName("when nodes and links fail")
  class Failures {

    /** Guards against a new allocator that grants what the old one has granted already. */
    @ParameterizedTest
    @ValueSource(ints = {3, 70, 900})
    void keepTheBoundWhenTheAllocatorEnds(int size) {
      QuotaSimulation mesh = mesh(size, 9, 9);
      mesh.atSecond(13, () -> mesh.stop(mesh.allocator(LARGE)));
      int end = end(size) + 2;
      mesh.runUntil(end);
      assertBound(mesh);
      double rate = LARGE_QUOTA.perSecond() * (size - 1) / size;
      assertThat((double) mesh.accepted(LARGE, 15, end), is(greaterThan(0.95 * (end - 15) * rate)));
    }

    /** Guards against the loss of more than the change of allocator takes, at usual demand. */
    @Test
    void refuseLittleWhenTheAllocatorEnds() {
      QuotaSimulation mesh = mesh(70, 1, 1);
      mesh.atSecond(13, () -> mesh.stop(mesh.allocator(LARGE)));
      mesh.runUntil(20);
      assertThat(mesh.refused(LARGE, 16, 20), is(0));
      assertThat((double) mesh.refused(LARGE, 13, 16), is(lessThan(usual(LARGE_QUOTA))));
    }

    /** Guards against two parts of the mesh that grant the whole quota each. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10, 34, 35})
    void keepTheBoundWhenTheMeshIsDivided(int cutOff) {
      QuotaSimulation mesh = mesh(70, 9, 9);
      mesh.atSecond(13, () -> mesh.cut(new HashSet<>(all(cutOff))));
      mesh.atSecond(20, mesh::heal);
      mesh.runUntil(30);
      assertBound(mesh);
      assertThat(
          (double) mesh.accepted(LARGE, 15, 20),
          is(greaterThan(0.9 * 5 * LARGE_QUOTA.perSecond())));
    }

    /** Guards against an allocator that some nodes no longer reach and others still ask. */
    @Test
    void keepTheBoundWhenSomeLinksToTheAllocatorAreCut() {
      QuotaSimulation mesh = mesh(70, 9, 9);
      mesh.atSecond(
          13,
          () -> {
            int allocator = mesh.allocator(LARGE);
            all(70).stream()
                .filter(node -> node % 2 == 0 && node != allocator)
                .forEach(node -> mesh.cutLink(node, allocator));
          });
      mesh.atSecond(20, mesh::heal);
      mesh.runUntil(30);
      assertBound(mesh);
    }

    /** Guards against grants that a frozen allocator sends when it runs again. */
    @Test
    void keepTheBoundWhenTheAllocatorIsFrozen() {
      QuotaSimulation mesh = mesh(70, 9, 9);
      mesh.atSecond(13, () -> mesh.freeze(mesh.allocator(LARGE), 4));
      mesh.runUntil(30);
      assertBound(mesh);
    }

    /** Guards against nodes that get a whole burst anew by restarting. */
    @Test
    void keepTheBoundWhenNodesRestart() {
      QuotaSimulation mesh = mesh(70, 9, 9);
      for (int node = 0; node < 10; node++) {
        int restarted = node;
        mesh.atSecond(13, () -> mesh.stop(restarted));
        mesh.atSecond(14.5, () -> mesh.start(restarted));
      }
      mesh.runUntil(30);
      assertBound(mesh);
    }

    /** Guards against full buckets at a restart of all nodes, and against none at all. */
    @Test
    void serveSoonAfterAllNodesHaveRestarted() {
      QuotaSimulation mesh = mesh(70, 1, 1);
      mesh.atSecond(12, () -> all(70).forEach(mesh::stop));
      mesh.atSecond(
          14,
          () -> {
            for (int node = 0; node < 70; node++) {
              int started = node;
              mesh.atSecond(14 + node * 0.02, () -> mesh.start(started));
            }
          });
      mesh.runUntil(25);
      assertBound(mesh);
      assertThat(
          (double) mesh.accepted(LARGE, 16.5, 20) / mesh.offered(LARGE, 16.5, 20),
          is(closeTo(1, 0.02)));
      assertThat(
          (double) mesh.accepted(LARGE, 14, 16.5) / mesh.offered(LARGE, 14, 16.5),
          is(greaterThan(0.8)));
    }

    /** Guards against a new node that has to be known to all before its clients are served. */
    @Test
    void serveAtNewNode() {
      QuotaSimulation mesh = new QuotaSimulation(5, 70);
      mesh.setQuota(LARGE, LARGE_QUOTA);
      mesh.forget(69);
      mesh.startAllWithin(0.5);
      mesh.atSecond(1, () -> mesh.stop(69));
      mesh.atSecond(8, () -> mesh.start(69));
      mesh.atSecond(9, () -> mesh.learn(69));
      mesh.offer(LARGE, all(70), second -> usual(LARGE_QUOTA), 20);
      mesh.runUntil(20);
      assertThat(mesh.refused(LARGE, 10, 20), is(0));
    }

    /** Guards against limits that nodes keep by tokens or buckets of the time before. */
    @Test
    void applyLowerLimitWithinTheBound() {
      QuotaSimulation mesh = mesh(70, 9, 1);
      Quota lower = new Quota(30, 30);
      mesh.atSecond(15, () -> mesh.setQuota(LARGE, lower));
      mesh.runUntil(30);
      assertThat(
          (double) mesh.worstPeriod(LARGE, 20),
          is(lessThanOrEqualTo(QuotaBounds.maxPerPeriod(lower))));
    }
  }

  @Nested
  @DisplayName("in random orders of failures")
  class RandomFailures {

    /** Guards against orders of votes, frames and failures in which tokens are granted twice. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void keepTheBound(long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      int size = 3 + random.nextInt(20);
      QuotaSimulation mesh = new QuotaSimulation(seed, size);
      mesh.setQuota(LARGE, LARGE_QUOTA);
      mesh.startAllWithin(1.5);
      mesh.offer(LARGE, all(size), second -> 9 * usual(LARGE_QUOTA), 60);
      for (double second = 4; second < 55; second += 1 + 4 * random.nextDouble()) {
        int node = random.nextInt(size);
        double at = second;
        switch (random.nextInt(5)) {
          case 0 -> {
            mesh.atSecond(at, () -> mesh.stop(node));
            mesh.atSecond(at + 1.2, () -> mesh.start(node));
          }
          case 1 -> mesh.atSecond(at, () -> mesh.freeze(node, 0.2 + 2 * random.nextDouble()));
          case 2 -> {
            Set<Integer> side = new HashSet<>();
            all(size).stream().filter(unused -> random.nextBoolean()).forEach(side::add);
            mesh.atSecond(at, () -> mesh.cut(side));
          }
          case 3 -> mesh.atSecond(at, mesh::heal);
          default -> {
            int other = random.nextInt(size);
            mesh.atSecond(at, () -> mesh.cutLink(node, other));
          }
        }
      }
      mesh.runUntil(60);
      assertThat(
          (double) mesh.worstPeriod(LARGE, 0),
          is(lessThanOrEqualTo(QuotaBounds.maxPerPeriod(LARGE_QUOTA))));
    }
  }
}
