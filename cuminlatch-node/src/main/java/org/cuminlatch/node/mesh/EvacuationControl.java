package org.cuminlatch.node.mesh;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.cuminlatch.core.evacuation.ZoneState;
import org.cuminlatch.core.evacuation.ZoneStates;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.wire.proto.call.TargetStatus;

/**
 * Learns from the store and from other nodes which availability zones are evacuated; used on the
 * control loop.
 *
 * <p>All nodes put what they know into their statuses, which a node gets when it connects. A change
 * is sent at once by the nodes that read the store for their zone only, as with a new
 * configuration: otherwise each of n nodes would send it to all others. In a zone that has lost the
 * store, each node is such a reader.
 */
final class EvacuationControl {

  private final InstantSource clock;
  private final EventLog log;
  private final OperatorRecordCodec codec;
  private final BooleanSupplier readsForZone;
  private final Listener listener;
  private final ZoneStates zones = new ZoneStates();
  private Set<String> evacuated = Set.of();
  private boolean untold;

  EvacuationControl(
      InstantSource clock,
      EventLog log,
      OperatorRecordCodec codec,
      BooleanSupplier readsForZone,
      Listener listener) {
    this.clock = clock;
    this.log = log;
    this.codec = codec;
    this.readsForZone = readsForZone;
    this.listener = listener;
  }

  /** Receives changes. */
  interface Listener {

    /** Called with all evacuated zones when they have changed. */
    void onEvacuatedZones(Set<String> zones);

    /** Called when the status for nodes that connect has changed. */
    void onStatusChange();

    /** Called when the other nodes must be told the status now. */
    void tellAll();
  }

  /** Handles a record of the store; returns false if it is about something else. */
  boolean onRecord(Item item, long era) {
    Optional<ZoneState> state = stateOf(item, era);
    state.ifPresent(known -> update(zones.apply(known, clock.instant()), "store"));
    return state.isPresent();
  }

  /**
   * Handles a read of the newest records, which also tells which zones have no record. Each change
   * of the store's era begins with such a read.
   */
  void onNewestRead(Page page) {
    List<ZoneState> states =
        page.items().stream()
            .flatMap(item -> stateOf(item, page.eraOrNone()).stream())
            .filter(ZoneState::evacuated)
            .toList();
    update(zones.applyNewest(states, page.eraOrNone(), page.end(), clock.instant()), "store");
  }

  private Optional<ZoneState> stateOf(Item item, long era) {
    return codec
        .evacuatedZone(item.key())
        .map(zone -> new ZoneState(zone, item.value().length > 0, era, item.offset() + 1));
  }

  /** Handles the status of another node. */
  void onStatus(TargetStatus status) {
    boolean changed = false;
    for (var state : status.getZonesList()) {
      changed |=
          zones.apply(
              new ZoneState(state.getZone(), state.getEvacuated(), state.getEra(), state.getEnd()),
              clock.instant());
    }
    update(changed, status.getNode());
  }

  /** Ends evacuations whose records the store has lost, and tells what is still untold. */
  void tick() {
    update(zones.expireLost(clock.instant()), "store");
    tellIfReader();
  }

  void describe(TargetStatus.Builder status) {
    for (ZoneState state : zones.all()) {
      status.addZones(
          org.cuminlatch.wire.proto.call.ZoneState.newBuilder()
              .setZone(state.zone())
              .setEvacuated(state.evacuated())
              .setEra(state.era())
              .setEnd(state.end()));
    }
  }

  private void update(boolean changed, String source) {
    if (!changed) {
      return;
    }
    Set<String> current = zones.evacuated();
    if (!current.equals(evacuated)) {
      log.event("zones-evacuated")
          .with("zones", String.join(" ", current))
          .with("source", source)
          .write();
      evacuated = current;
      listener.onEvacuatedZones(current);
    }
    untold = true;
    listener.onStatusChange();
    tellIfReader();
  }

  private void tellIfReader() {
    if (untold && readsForZone.getAsBoolean()) {
      untold = false;
      listener.tellAll();
    }
  }
}
