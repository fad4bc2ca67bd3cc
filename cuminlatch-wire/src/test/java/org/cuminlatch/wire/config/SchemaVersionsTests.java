package org.cuminlatch.wire.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.RecordEnvelope;
import org.cuminlatch.core.config.RefusalReason;
import org.cuminlatch.core.config.ResourceKey;
import org.cuminlatch.core.config.ResourceStatus;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.SchemaBody;
import org.cuminlatch.core.config.TargetVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Nodes of two releases")
class SchemaVersionsTests {

  private static final ResourceKey ORDERS = ResourceKey.route("orders");

  private final ReplicaFixture oldNode = ReplicaFixture.withSchemaVersions(1);
  private final ReplicaFixture newNode = ReplicaFixture.withSchemaVersions(1, 2);

  @BeforeEach
  void createService() {
    append(
        ConfigurationCodecs.encode("s", new TargetVersion("siparis", "v1"), OptionalLong.empty()));
  }

  @Test
  void readRecordInCommonSchemaVersionAlike() {
    Route route = Route.of("orders", "/orders", "siparis");
    append(Samples.routeRecord("r", "orders", Samples.bodyV1(route)));
    assertThat(routeOn(oldNode), is(Optional.of(route)));
    assertThat(routeOn(newNode), is(Optional.of(route)));
  }

  @Test
  void useTheNewestSchemaVersionThatEachSupports() {
    Route old = Route.of("orders", "/orders", "siparis");
    Route sticky = Samples.stickyRoute("orders", "/orders");
    append(Samples.routeRecord("r", "orders", Samples.bodyV1(old), Samples.bodyV2(sticky)));
    assertThat(routeOn(oldNode), is(Optional.of(old)));
    assertThat(routeOn(newNode), is(Optional.of(sticky)));
    assertThat(oldNode.snapshot().resourcesBehind(), is(empty()));
  }

  @Nested
  class WithRouteReadableOnlyByTheNewRelease {

    private final Route first = Route.of("orders", "/orders", "siparis");
    private final Route second = Samples.headerRoute("orders", "1");

    @BeforeEach
    void publishBoth() {
      append(Samples.routeRecord("r1", "orders", Samples.bodyV1(first)));
      append(Samples.routeRecord("r2", "orders", Samples.bodyV2(second)));
    }

    @Test
    void theOldReleaseKeepsTheLastReadableRouteInForceAndReportsIt() {
      assertThat(routeOn(oldNode), is(Optional.of(first)));
      assertThat(routeOn(newNode), is(Optional.of(second)));
      assertThat(oldNode.snapshot().resourcesBehind(), contains(ORDERS));
      assertThat(
          oldNode.events,
          hasItem(equalTo(new FoldEvent.Unreadable(ORDERS, new ResourceStatus(3, 2)))));
    }

    @Test
    void theOldReleaseStillAppliesOtherResources() {
      Route quotes = Route.of("quotes", "/quotes", "siparis");
      append(Samples.routeRecord("r3", "quotes", Samples.bodyV1(quotes)));
      assertThat(oldNode.snapshot().routes().get("quotes"), is(quotes));
      assertThat(oldNode.snapshot().version(), is(newNode.snapshot().version()));
    }

    @Test
    void bothReleasesHaveTheSameHashAndCheckpoint() {
      assertThat(oldNode.snapshot().stateHash(), is(newNode.snapshot().stateHash()));
      assertThat(oldNode.replica.checkpoint(), is(newNode.replica.checkpoint()));
    }

    @Test
    void theNewReleaseRestoresItsStateFromCheckpointOfTheOldRelease() {
      ReplicaFixture restarted = ReplicaFixture.withSchemaVersions(1, 2);
      restarted.replica.restore(oldNode.replica.checkpoint());
      assertThat(routeOn(restarted), is(Optional.of(second)));
      assertThat(restarted.snapshot(), equalTo(newNode.snapshot()));
    }

    @Test
    void theOldReleaseRestoresItsStateFromCheckpointOfTheNewRelease() {
      ReplicaFixture restarted = ReplicaFixture.withSchemaVersions(1);
      restarted.replica.restore(newNode.replica.checkpoint());
      assertThat(restarted.snapshot(), equalTo(oldNode.snapshot()));
    }

    @Test
    void theOldReleaseAppliesTheRouteAgainOncePublishedInItsSchemaVersion() {
      Route third = Route.of("orders", "/third", "siparis");
      append(Samples.routeRecord("r3", "orders", Samples.bodyV1(third)));
      assertThat(routeOn(oldNode), is(Optional.of(third)));
      assertThat(routeOn(newNode), is(Optional.of(third)));
      assertThat(oldNode.snapshot().resourcesBehind(), is(empty()));
    }
  }

  @Nested
  class WithInvalidBodyOfTheNewSchemaVersion {

    @Test
    void agreeOnTheVerdictAndNeverApplyItPartially() {
      Route first = Samples.stickyRoute("orders", "/orders");
      append(Samples.routeRecord("r1", "orders", Samples.bodyV2(first)));
      append(Samples.routeRecord("r2", "orders", truncated(Samples.bodyV2(first))));
      assertThat(oldNode.decisions(), equalTo(newNode.decisions()));
      assertThat(routeOn(newNode), is(Optional.of(first)));
      assertThat(newNode.snapshot().resourcesBehind(), contains(ORDERS));
      assertThat(newNode.snapshot().stateHash(), is(oldNode.snapshot().stateHash()));
    }

    @Test
    void ignoreBodyWhoseServiceIsNotReferencedByTheEnvelope() {
      append(
          ConfigurationCodecs.encode("t", new TargetVersion("saha", "v1"), OptionalLong.empty()));
      Route elsewhere =
          new Route(
              "orders",
              Optional.empty(),
              "/",
              Map.of("a", "b"),
              "saha",
              CallLimits.defaults(),
              Optional.empty());
      append(Samples.routeRecord("r", "orders", Samples.bodyV2(elsewhere)));
      assertThat(routeOn(newNode), is(Optional.empty()));
      assertThat(newNode.snapshot().stateHash(), is(oldNode.snapshot().stateHash()));
    }

    @Test
    void ignoreOrRefuseBodyWithFieldThatItsSchemaVersionDoesNotDefine() {
      Route route = Samples.stickyRoute("orders", "/orders");
      append(Samples.routeRecord("r1", "orders", withUnknownField(Samples.bodyV2(route))));
      assertThat(routeOn(newNode), is(Optional.empty()));
      append(Samples.routeRecord("r2", "orders", withUnknownField(Samples.bodyV1(route))));
      assertThat(newNode.verdict(2), is(Optional.of(RefusalReason.MALFORMED)));
      assertThat(oldNode.decisions(), equalTo(newNode.decisions()));
    }

    private SchemaBody withUnknownField(SchemaBody body) {
      byte[] content = body.content().toArray();
      byte[] extended = Arrays.copyOf(content, content.length + 3);
      extended[content.length] = (byte) 0xF8;
      extended[content.length + 1] = 0x06;
      extended[content.length + 2] = 1;
      return new SchemaBody(body.schemaVersion(), Bytes.copyOf(extended));
    }

    private SchemaBody truncated(SchemaBody body) {
      byte[] content = body.content().toArray();
      byte[] shortened = Arrays.copyOf(content, content.length - 3);
      return new SchemaBody(body.schemaVersion(), Bytes.copyOf(shortened));
    }
  }

  @Nested
  class InNewEnvelopes {

    @Test
    void receiveBothSchemaVersionsIfTheyMatchAndRetryAlike() {
      assertThat(schemas(Route.of("r", "/", "siparis")), contains(1));
      assertThat(schemas(Samples.stickyRoute("r", "/")), contains(1, 2));
    }

    @Test
    void receiveNoOldBodyThatWouldMatchMoreRequests() {
      assertThat(schemas(Samples.headerRoute("r", "1")), contains(2));
    }

    private List<Integer> schemas(Route route) {
      RecordEnvelope envelope = ConfigurationCodecs.envelope("id", route, OptionalLong.empty());
      return envelope.bodies().stream().map(SchemaBody::schemaVersion).toList();
    }
  }

  private void append(Bytes content) {
    oldNode.append(content);
    newNode.append(content);
  }

  private static Optional<Route> routeOn(ReplicaFixture node) {
    return Optional.ofNullable(node.snapshot().routes().get("orders"));
  }
}
