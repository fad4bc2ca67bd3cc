package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Keeps a restarted instance from serving with an older configuration version than it had before.
 *
 * <p>An instance keeps nothing itself, so it learns its floor from others: peers remember the
 * version that it last announced, and the end of the log is at least as high as any version ever
 * folded. It is ready once it has heard from enough of them and stands at the highest floor heard.
 */
public final class VersionFloor {

  /** Answers of peers that are enough, where there are so many peers. */
  public static final int ANSWERS_WANTED = 3;

  private final Set<String> answered = new HashSet<>();
  private long floor;
  private int knownPeers;
  private boolean logEndKnown;
  private boolean confirmed;

  /** Creates a floor of which nothing is known yet. */
  public VersionFloor() {}

  /**
   * Takes the number of peers that are believed to be alive.
   *
   * @param peers their number, this instance excluded
   */
  public void onKnownPeers(int peers) {
    check(peers >= 0, "peers", "must not be negative");
    knownPeers = peers;
  }

  /**
   * Takes a peer's answer.
   *
   * @param peer name of the peer
   * @param remembered version that this instance last announced to it, empty if it knows of none
   * @param peerVersion version that the peer itself has in force
   * @param peerIsReady whether the peer is ready itself; what a peer that has only just started
   *     does not remember proves nothing
   */
  public void onPeerAnswer(
      String peer, OptionalLong remembered, long peerVersion, boolean peerIsReady) {
    notBlank(peer, "peer");
    if (confirmed) {
      return;
    }
    raise(Math.max(remembered.orElse(0), peerVersion));
    if (peerIsReady || remembered.isPresent()) {
      answered.add(peer);
    }
  }

  /**
   * Takes the end of the log as first read after this start; later ends change nothing.
   *
   * @param nextOffset offset that the next record will get
   */
  public void onLogEnd(long nextOffset) {
    if (!confirmed && !logEndKnown) {
      raise(nextOffset);
      logEndKnown = true;
    }
  }

  /**
   * Returns the lowest version to serve with, as far as it is known.
   *
   * @return the floor
   */
  public long floor() {
    return floor;
  }

  /**
   * Decides whether the instance may serve; once it may, it may for good.
   *
   * @param version configuration version in force
   * @return ready or not, and why
   */
  public Readiness readiness(long version) {
    notNegative(version, "version");
    if (confirmed) {
      return new Readiness(true, "version " + version + " is at the floor " + floor);
    }
    int wanted = Math.min(ANSWERS_WANTED, knownPeers);
    boolean peersSuffice = knownPeers > 0 && answered.size() >= wanted;
    if (!peersSuffice && !logEndKnown) {
      return new Readiness(
          false,
          "the floor is unknown: %d of %d peers have answered and the end of the log is not read"
              .formatted(answered.size(), wanted));
    }
    if (version < floor) {
      return new Readiness(false, "version " + version + " is below the floor " + floor);
    }
    confirmed = true;
    return readiness(version);
  }

  private void raise(long version) {
    floor = Math.max(floor, version);
  }
}
