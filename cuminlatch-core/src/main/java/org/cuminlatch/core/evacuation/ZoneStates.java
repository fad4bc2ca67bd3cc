package org.cuminlatch.core.evacuation;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Latest known state of each availability zone, from the store and from other nodes.
 *
 * <p>Messages may arrive late and in any order; the state from the latest record applies. A read of
 * the newest records also tells which zones have none: they are in service as of the end of the
 * stream at that read. Not thread-safe.
 */
public final class ZoneStates {

  /**
   * Time for which an evacuation remains in force after the store has come back without its record.
   * The operator writes again what the store has lost; until then the zone must get no calls.
   */
  static final Duration LOST_RECORD_PERIOD = Duration.ofSeconds(30);

  private final Map<String, ZoneState> states = new TreeMap<>();
  private long readEra = -1;
  private long readEnd;
  private Instant readEraSince = Instant.MIN;

  /**
   * Applies the state of a zone, from a record of the store or from another node.
   *
   * @param state the state
   * @param now current time
   * @return whether other nodes should be told of a change
   */
  public boolean apply(ZoneState state, Instant now) {
    ZoneState known = states.get(notNull(state, "state").zone());
    if (known != null) {
      return state.isLaterThan(known) && put(state);
    }
    boolean lost = state.era() < readEra && now.isBefore(readEraSince.plus(LOST_RECORD_PERIOD));
    if (lost || state.era() > readEra || (state.era() == readEra && state.end() > readEnd)) {
      return put(state);
    }
    // the last read did not contain the record, so that its sender does not know of a later one
    return state.evacuated() && put(inService(state.zone()));
  }

  /**
   * Applies a read of the newest records.
   *
   * @param evacuated states of all zones that the records evacuate
   * @param era era of the store
   * @param end end of the stream at the read
   * @param now current time
   * @return whether other nodes should be told of a change
   */
  public boolean applyNewest(Collection<ZoneState> evacuated, long era, long end, Instant now) {
    notNull(evacuated, "evacuated");
    if (era < readEra || (era == readEra && end < readEnd)) {
      return false;
    }
    readEraSince = era > readEra ? now : readEraSince;
    readEra = era;
    readEnd = end;
    boolean changed = false;
    for (ZoneState state : evacuated) {
      ZoneState known = states.get(state.zone());
      changed |= (known == null || state.isLaterThan(known)) && put(state);
    }
    Set<String> present =
        evacuated.stream().map(ZoneState::zone).collect(Collectors.toUnmodifiableSet());
    for (ZoneState known : List.copyOf(states.values())) {
      boolean deleted = known.era() == era && known.end() < end && !present.contains(known.zone());
      changed |= known.evacuated() && deleted && put(inService(known.zone()));
    }
    return changed;
  }

  /**
   * Returns zones to service whose records the store has lost and the operator has not written
   * again.
   *
   * @param now current time
   * @return whether other nodes should be told of a change
   */
  public boolean expireLost(Instant now) {
    if (states.isEmpty() || now.isBefore(readEraSince.plus(LOST_RECORD_PERIOD))) {
      return false;
    }
    boolean changed = false;
    for (ZoneState known : List.copyOf(states.values())) {
      changed |= known.evacuated() && known.era() < readEra && put(inService(known.zone()));
    }
    return changed;
  }

  private boolean put(ZoneState state) {
    states.put(state.zone(), state);
    return true;
  }

  private ZoneState inService(String zone) {
    return new ZoneState(zone, false, readEra, readEnd);
  }

  /**
   * Returns the latest states of all zones that operators have evacuated or returned to service.
   *
   * @return the states, ordered by zone
   */
  public List<ZoneState> all() {
    return List.copyOf(states.values());
  }

  /**
   * Returns the zones that are evacuated.
   *
   * @return their names
   */
  public Set<String> evacuated() {
    return states.values().stream()
        .filter(ZoneState::evacuated)
        .map(ZoneState::zone)
        .collect(Collectors.toUnmodifiableSet());
  }
}
