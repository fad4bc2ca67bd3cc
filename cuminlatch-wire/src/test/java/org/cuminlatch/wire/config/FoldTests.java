package org.cuminlatch.wire.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.FoldLimits;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.RecordEnvelope;
import org.cuminlatch.core.config.RefusalReason;
import org.cuminlatch.core.config.ResourceKey;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RouteRemoval;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.config.TargetVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The fold")
class FoldTests {

  private static final Optional<RefusalReason> ACCEPTED = Optional.empty();
  private static final Route ORDERS = Route.of("orders", "/orders", "siparis");

  private ReplicaFixture fixture;

  @BeforeEach
  void createService() {
    fixture = ReplicaFixture.create();
    fixture.publish(new TargetVersion("siparis", "v1"));
  }

  @Test
  void acceptsRouteToKnownService() {
    assertThat(fixture.publish(ORDERS), is(ACCEPTED));
    assertThat(fixture.snapshot().routes().get("orders"), equalTo(ORDERS));
    assertThat(fixture.snapshot().version(), is(2L));
  }

  @Test
  void refusesRouteToUnknownServiceAndChangesNothingButTheVersion() {
    Snapshot before = fixture.snapshot();
    assertThat(
        fixture.publish(Route.of("quotes", "/quotes", "saha")),
        is(refused(RefusalReason.UNRESOLVED_REFERENCE)));
    assertThat(fixture.snapshot().routes(), equalTo(before.routes()));
    assertThat(fixture.snapshot().services(), equalTo(before.services()));
    assertThat(fixture.snapshot().version(), is(before.version() + 1));
  }

  @Test
  void removesRouteAndRefusesToRemoveItTwice() {
    fixture.publish(ORDERS);
    assertThat(fixture.publish(new RouteRemoval("orders")), is(ACCEPTED));
    assertThat(fixture.snapshot().routes(), anEmptyMap());
    assertThat(
        fixture.publish(new RouteRemoval("orders")), is(refused(RefusalReason.RESOURCE_MISSING)));
  }

  @Test
  void doesNotChangeSnapshotsReturnedEarlier() {
    Snapshot before = fixture.snapshot();
    fixture.publish(ORDERS);
    assertThat(before.routes(), anEmptyMap());
    assertThat(before.version(), is(1L));
  }

  @Nested
  class WithExpectedVersion {

    @Test
    void acceptsOnlyTheFirstOfTwoConcurrentUpdates() {
      assertThat(fixture.publish(ORDERS, OptionalLong.of(0)), is(ACCEPTED));
      assertThat(
          fixture.publish(Route.of("orders", "/b", "siparis"), OptionalLong.of(0)),
          is(refused(RefusalReason.EXPECTED_VERSION_MISMATCH)));
      assertThat(fixture.snapshot().routes().get("orders"), equalTo(ORDERS));
    }

    @Test
    void definesVersionOfResourceAsOffsetOfItsLastAcceptedRecordPlusOne() {
      fixture.publish(ORDERS);
      fixture.publish(Route.of("orders", "/nowhere", "saha"));
      Route changed = Route.of("orders", "/b", "siparis");
      assertThat(
          fixture.publish(changed, OptionalLong.of(3)),
          is(refused(RefusalReason.EXPECTED_VERSION_MISMATCH)));
      assertThat(fixture.publish(changed, OptionalLong.of(2)), is(ACCEPTED));
      long version = fixture.snapshot().resources().get(ResourceKey.route("orders")).version();
      assertThat(version, is(5L));
    }

    @Test
    void appliesToRemovals() {
      fixture.publish(ORDERS);
      assertThat(
          fixture.publish(new RouteRemoval("orders"), OptionalLong.of(1)),
          is(refused(RefusalReason.EXPECTED_VERSION_MISMATCH)));
      assertThat(fixture.publish(new RouteRemoval("orders"), OptionalLong.of(2)), is(ACCEPTED));
    }
  }

  @Nested
  class WithRepeatedRecords {

    @Test
    void dropsRepeatOfAcceptedRecord() {
      Bytes first = ConfigurationCodecs.encode("r", ORDERS, OptionalLong.empty());
      fixture.append(first);
      fixture.publish(new RouteRemoval("orders"));
      assertThat(fixture.append(first), is(refused(RefusalReason.REPEATED_RECORD_ID)));
      assertThat(fixture.snapshot().routes(), anEmptyMap());
    }

    @Test
    void dropsRepeatOfRefusedRecordEvenIfItWouldNowBeAccepted() {
      Bytes early =
          ConfigurationCodecs.encode("r", Route.of("q", "/q", "saha"), OptionalLong.empty());
      fixture.append(early);
      fixture.publish(new TargetVersion("saha", "v1"));
      assertThat(fixture.append(early), is(refused(RefusalReason.REPEATED_RECORD_ID)));
      assertThat(fixture.snapshot().routes(), not(hasKey("q")));
    }

    @Test
    void remembersLimitedNumberOfRecordIds() {
      Bytes first = ConfigurationCodecs.encode("r", ORDERS, OptionalLong.empty());
      fixture.append(first);
      for (int i = 0; i < FoldLimits.MAX_RECORD_IDS; i++) {
        fixture.publish(ORDERS);
      }
      assertThat(fixture.append(first), is(ACCEPTED));
    }
  }

  @Nested
  class WithInvalidRecords {

    @Test
    void refusesBytesThatAreNoRecord() {
      assertThat(
          fixture.append(Bytes.copyOf(new byte[] {1, 2, 3})), is(refused(RefusalReason.MALFORMED)));
    }

    @Test
    void refusesRecordTruncatedAtAnyByteAndFoldsTheNextOne() {
      byte[] whole = ConfigurationCodecs.encode("r", ORDERS, OptionalLong.empty()).toArray();
      for (int length = 0; length < whole.length; length++) {
        Bytes truncated = Bytes.copyOf(Arrays.copyOf(whole, length));
        assertThat(fixture.append(truncated), is(refused(RefusalReason.MALFORMED)));
      }
      assertThat(fixture.append(Bytes.copyOf(whole)), is(ACCEPTED));
    }

    @Test
    void refusesRecordWithAnyBitOfItsEnvelopeFlipped() {
      byte[] whole = ConfigurationCodecs.encode("r", ORDERS, OptionalLong.empty()).toArray();
      for (int i = 0; i < whole.length; i++) {
        byte[] flipped = whole.clone();
        flipped[i] ^= 0x10;
        assertThat(fixture.append(Bytes.copyOf(flipped)), is(refused(RefusalReason.MALFORMED)));
      }
    }

    @Test
    void refusesUnknownKind() {
      assertThat(fixture.append(envelope("rout", "x")), is(refused(RefusalReason.UNKNOWN_KIND)));
    }

    @Test
    void refusesKindWithoutItsBaseSchemaVersion() {
      Bytes record =
          ConfigurationCodecs.encode(
              new RecordEnvelope(
                  "r",
                  "move",
                  "m",
                  OptionalLong.empty(),
                  List.of(),
                  List.of(Samples.opaque(2, 10))));
      assertThat(fixture.append(record), is(refused(RefusalReason.SCHEMA_MISSING)));
    }

    @Test
    void refusesBodyAndRecordLargerThanTheMaximum() {
      Bytes body =
          Samples.routeRecord("r", "orders", Samples.opaque(2, RecordEnvelope.MAX_BODY_BYTES + 1));
      assertThat(fixture.append(body), is(refused(RefusalReason.TOO_LARGE)));
      Bytes record = Bytes.copyOf(new byte[RecordEnvelope.MAX_RECORD_BYTES + 1]);
      assertThat(fixture.append(record), is(refused(RefusalReason.TOO_LARGE)));
    }

    @Test
    void refusesEnvelopeThatDoesNotNameTheServiceOfItsBody() {
      Bytes record =
          Samples.routeRecord("r", "orders", Samples.bodyV1(Route.of("orders", "/", "saha")));
      assertThat(fixture.append(record), is(refused(RefusalReason.MALFORMED)));
    }

    @Test
    void refusesBodyAboutAnotherResource() {
      Bytes record = Samples.routeRecord("r", "quotes", Samples.bodyV1(ORDERS));
      assertThat(fixture.append(record), is(refused(RefusalReason.MALFORMED)));
    }

    private Bytes envelope(String kind, String resource) {
      return ConfigurationCodecs.encode(
          new RecordEnvelope(
              "r", kind, resource, OptionalLong.empty(), List.of(), List.of(Samples.opaque(1, 4))));
    }
  }

  @Nested
  class WithOffsets {

    @Test
    void reportsGapAndFoldsNothingBeyondIt() {
      Bytes content = ConfigurationCodecs.encode("r", ORDERS, OptionalLong.empty());
      assertThat(fixture.replica.fold(List.of(new LogRecord(3, content))), is(0));
      assertThat(fixture.replica.version(), is(1L));
      assertThat(fixture.events, hasItem(equalTo(new FoldEvent.OffsetGap(1, 3))));
    }

    @Test
    void continuesWhenTheMissingRecordsArrive() {
      Bytes content = ConfigurationCodecs.encode("r", ORDERS, OptionalLong.empty());
      fixture.replica.fold(List.of(new LogRecord(2, content)));
      Bytes missing = Bytes.copyOf(new byte[] {9});
      int folded =
          fixture.replica.fold(List.of(new LogRecord(1, missing), new LogRecord(2, content)));
      assertThat(folded, is(2));
      assertThat(fixture.snapshot().routes(), hasKey("orders"));
    }

    @Test
    void ignoresRecordsAlreadyFolded() {
      assertThat(fixture.replica.fold(fixture.log), is(0));
      assertThat(fixture.replica.version(), is(1L));
    }

    @Test
    void returnsRetainedRecordsUpToByteLimit() {
      fixture.publish(ORDERS);
      assertThat(fixture.replica.recordsFrom(0, 1), contains(fixture.log.get(0)));
      assertThat(fixture.replica.recordsFrom(0, 10_000), equalTo(fixture.log));
      assertThat(fixture.replica.recordsFrom(2, 10_000), equalTo(List.of()));
      assertThat(fixture.replica.oldestRetained(), is(0L));
    }
  }

  @Nested
  class WithTargetVersions {

    @Test
    void makesTheFirstVersionCurrent() {
      fixture.publish(new TargetVersion("siparis", "v2"));
      assertThat(fixture.snapshot().services().get("siparis").current(), is("v1"));
      assertThat(
          fixture.snapshot().services().get("siparis").versions(), equalTo(Set.of("v1", "v2")));
    }

    @Test
    void dropsTheOldestUnusedVersionBeyondTheMaximum() {
      for (int i = 2; i <= FoldLimits.MAX_TARGET_VERSIONS + 2; i++) {
        fixture.publish(new TargetVersion("siparis", "v" + i));
      }
      Set<String> versions = fixture.snapshot().services().get("siparis").versions();
      assertThat(versions.size(), is(FoldLimits.MAX_TARGET_VERSIONS));
      assertThat(versions, hasItems("v1", "v4"));
      assertThat(versions, not(hasItem("v2")));
    }

    @Test
    void refusesServiceWhoseNameMakesKeysAmbiguous() {
      assertThat(
          fixture.publish(new TargetVersion("a@b", "c")), is(refused(RefusalReason.MALFORMED)));
    }
  }

  @Nested
  class WithExtensionKinds {

    @Test
    void storesThemByTheirEnvelopeAndReportsThemAsUnreadable() {
      assertThat(fixture.append(extension("policy", 1)), is(ACCEPTED));
      ResourceKey key = new ResourceKey("ext-policy", "policy");
      assertThat(fixture.snapshot().resourcesBehind(), contains(key));
      assertThat(fixture.events, hasItem(instanceOf(FoldEvent.Unreadable.class)));
    }

    @Test
    void refusesToRemoveWhatAnotherResourceRefersTo() {
      fixture.append(extension("policy", 1));
      ResourceKey policy = new ResourceKey("ext-policy", "policy");
      Bytes route =
          ConfigurationCodecs.encode(
              new RecordEnvelope(
                  "route",
                  "route",
                  "orders",
                  OptionalLong.empty(),
                  List.of(policy, ResourceKey.service("siparis")),
                  List.of(Samples.bodyV1(ORDERS))));
      assertThat(fixture.append(route), is(ACCEPTED));
      assertThat(
          fixture.append(extension("policy", 0)), is(refused(RefusalReason.STILL_REFERENCED)));
      fixture.publish(new RouteRemoval("orders"));
      assertThat(
          fixture.append(extension("policy", 0)), is(refused(RefusalReason.REPEATED_RECORD_ID)));
    }

    @Test
    void removesThemByRecordWithoutBody() {
      fixture.append(extension("policy", 1));
      assertThat(fixture.append(extension("policy", 0)), is(ACCEPTED));
      assertThat(fixture.snapshot().resources(), aMapWithSize(1));
    }

    private Bytes extension(String name, int bodies) {
      return ConfigurationCodecs.encode(
          new RecordEnvelope(
              "ext-" + bodies,
              "ext-policy",
              name,
              OptionalLong.empty(),
              List.of(),
              bodies == 0 ? List.of() : List.of(Samples.opaque(1, 8))));
    }
  }

  private static Optional<RefusalReason> refused(RefusalReason reason) {
    return Optional.of(reason);
  }
}
