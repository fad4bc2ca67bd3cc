package org.cuminlatch.wire.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.MoveOutcome.Result;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.config.RecordEnvelope;
import org.cuminlatch.core.config.Resource;
import org.cuminlatch.core.config.ResourceKey;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RouteRemoval;
import org.cuminlatch.core.config.SchemaBody;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.config.TargetVersion;

/** Folds random logs with records in any order, some of them repeated, invalid or truncated. */
class ReplicaPropertiesTests {

  private static final String SEED = "20261204";
  private static final int TRIES = 300;

  @Property(tries = TRIES, seed = SEED)
  void replicasThatFoldDifferentBatchesAgree(
      @ForAll("logs") List<LogRecord> log, @ForAll("cuts") List<Integer> cuts) {
    ReplicaFixture one = ReplicaFixture.create();
    ReplicaFixture two = ReplicaFixture.create();
    one.foldAll(log);
    foldInBatches(two, log, cuts);
    assertThat(two.decisions(), equalTo(one.decisions()));
    assertThat(two.snapshot(), equalTo(one.snapshot()));
  }

  @Property(tries = TRIES, seed = SEED)
  void replicasOfTwoReleasesAgreeOnVerdictsHashAndCheckpoint(@ForAll("logs") List<LogRecord> log) {
    ReplicaFixture older = ReplicaFixture.withSchemaVersions(1);
    ReplicaFixture newer = ReplicaFixture.withSchemaVersions(1, 2);
    older.foldAll(log);
    newer.foldAll(log);
    assertThat(older.decisions(), equalTo(newer.decisions()));
    assertThat(older.snapshot().stateHash(), is(newer.snapshot().stateHash()));
    assertThat(older.replica.checkpoint(), equalTo(newer.replica.checkpoint()));
  }

  @Property(tries = TRIES, seed = SEED)
  void checkpointAndTailResultInTheSameStateAsTheWholeLog(
      @ForAll("logs") List<LogRecord> log, @ForAll("cuts") List<Integer> cuts) {
    int cut = cuts.isEmpty() ? 0 : Math.min(cuts.get(0), log.size());
    for (Integer[] releases : List.of(new Integer[] {1}, new Integer[] {1, 2})) {
      ReplicaFixture whole = ReplicaFixture.withSchemaVersions(releases);
      whole.foldAll(log);
      ReplicaFixture writer = ReplicaFixture.withSchemaVersions(1);
      writer.foldAll(log.subList(0, cut));
      ReplicaFixture restored = ReplicaFixture.withSchemaVersions(releases);
      restored.replica.restore(writer.replica.checkpoint());
      restored.foldAll(log.subList(cut, log.size()));
      assertThat(restored.snapshot(), equalTo(whole.snapshot()));
      assertThat(restored.replica.checkpoint(), equalTo(whole.replica.checkpoint()));
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void everySnapshotContainsAllReferencedResources(@ForAll("logs") List<LogRecord> log) {
    for (Integer[] releases : List.of(new Integer[] {1}, new Integer[] {1, 2})) {
      ReplicaFixture replica = ReplicaFixture.withSchemaVersions(releases);
      for (LogRecord record : log) {
        replica.foldAll(List.of(record));
        assertReferencesResolve(replica.snapshot());
      }
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void anyBodyIsAcceptedOrRefusedWithoutException(
      @ForAll("kinds") String kind,
      @ForAll @IntRange(min = 1, max = 3) int schemaVersion,
      @ForAll byte[] content) {
    ReplicaFixture replica = ReplicaFixture.create();
    replica.publish(new TargetVersion("s1", "v1"));
    SchemaBody body = new SchemaBody(schemaVersion, Bytes.copyOf(content));
    replica.append(
        ConfigurationCodecs.encode(
            new RecordEnvelope(
                "id",
                kind,
                "r1",
                OptionalLong.empty(),
                List.of(ResourceKey.service("s1")),
                List.of(body))));
    assertThat(replica.snapshot().version(), is(2L));
    assertThat(replica.decisions().size(), is(2));
  }

  @Provide
  Arbitrary<String> kinds() {
    return Arbitraries.of(
        "route", "route-removal", "target-version", "move", "move-stop", "move-outcome", "ext-a");
  }

  private static void assertReferencesResolve(Snapshot snapshot) {
    assertThat(
        snapshot.routes().values().stream().map(Route::service).toList(),
        everyItem(is(in(snapshot.services().keySet()))));
    snapshot.moves().values().stream()
        .filter(state -> state.isOpen())
        .forEach(
            state -> {
              List<String> versions = List.of(state.move().from(), state.move().to());
              assertThat(
                  versions,
                  everyItem(is(in(snapshot.services().get(state.move().service()).versions()))));
            });
  }

  private static void foldInBatches(
      ReplicaFixture replica, List<LogRecord> log, List<Integer> cuts) {
    for (int cut : cuts) {
      int end = Math.min(cut, log.size());
      replica.replica.fold(log.subList(end / 2, end));
      replica.replica.snapshot();
    }
    replica.replica.fold(log);
  }

  @Provide
  Arbitrary<List<Integer>> cuts() {
    return Arbitraries.integers().between(0, 60).list().ofMaxSize(6);
  }

  @Provide
  Arbitrary<List<LogRecord>> logs() {
    return contents().list().ofMinSize(1).ofMaxSize(60).map(ReplicaPropertiesTests::log);
  }

  private static List<LogRecord> log(List<Bytes> contents) {
    List<LogRecord> log = new ArrayList<>();
    contents.forEach(content -> log.add(new LogRecord(log.size(), content)));
    return log;
  }

  private static Arbitrary<Bytes> contents() {
    Arbitrary<Bytes> whole =
        Combinators.combine(
                Arbitraries.integers().between(0, 200),
                resources(),
                Arbitraries.longs().between(0, 12).injectNull(0.8))
            .as(
                (id, resource, expected) ->
                    ConfigurationCodecs.encode(
                        "id" + id,
                        resource,
                        expected == null ? OptionalLong.empty() : OptionalLong.of(expected)));
    Arbitrary<Bytes> cut =
        Combinators.combine(whole, Arbitraries.integers().between(0, 40))
            .as(ReplicaPropertiesTests::truncate);
    return Arbitraries.frequencyOf(
        Tuple.of(8, whole), Tuple.of(2, invalidRecords()), Tuple.of(1, cut));
  }

  private static Bytes truncate(Bytes content, int length) {
    byte[] bytes = content.toArray();
    return Bytes.copyOf(Arrays.copyOf(bytes, Math.min(length, bytes.length)));
  }

  private static Arbitrary<Bytes> invalidRecords() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 200),
            Arbitraries.of("r1", "r2"),
            Arbitraries.integers().between(1, 3),
            Arbitraries.of("route", "ext-policy", "nonsense"))
        .as(
            (id, name, schema, kind) ->
                ConfigurationCodecs.encode(
                    new RecordEnvelope(
                        "id" + id,
                        kind,
                        name,
                        OptionalLong.empty(),
                        List.of(ResourceKey.service("s1")),
                        List.of(Samples.opaque(schema, 6)))));
  }

  private static Arbitrary<Resource> resources() {
    Arbitrary<String> services = Arbitraries.of("siparis", "s1");
    Arbitrary<String> versions = Arbitraries.of("v1", "v2", "v3");
    Arbitrary<String> routes = Arbitraries.of("r1", "r2", "r3");
    Arbitrary<String> moves = Arbitraries.of("m1", "m2", "m3");
    return Arbitraries.oneOf(
        List.of(
            Combinators.combine(services, versions).as(TargetVersion::new),
            Combinators.combine(routes, services).as((r, s) -> Route.of(r, "/" + r, s)),
            routes.map(name -> Samples.headerRoute(name, "1")),
            routes.map(name -> Samples.stickyRoute(name, "/" + name)),
            routes.map(RouteRemoval::new),
            Combinators.combine(moves, routes.injectNull(0.5), versions, versions)
                .as((m, r, from, to) -> Samples.move(m, Optional.ofNullable(r), from, to)),
            moves.map(name -> new MoveStop(name, "why")),
            Combinators.combine(moves, Arbitraries.of(Result.class)).as(Samples::outcome)));
  }
}
