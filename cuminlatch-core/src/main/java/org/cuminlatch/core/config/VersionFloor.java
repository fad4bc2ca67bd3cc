package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Prevents a restarted instance from serving with an older configuration version than before the
 * restart.
 *
 * <p>An instance does not persist its version, so it obtains its floor from other sources: peers
 * remember the version that it last announced, and the end of the log is at least as high as any
 * version ever folded. The instance is ready once enough peers have answered, or the end of the log
 * has been read, and its version has reached the highest floor received.
 */
public final class VersionFloor {

  /** Number of peers that must answer; fewer if fewer are alive. */
  public static final int REQUIRED_PEER_ANSWERS = 3;

  private final Set<String> answeredPeers = new HashSet<>();
  private long floor;
  private int livePeers;
  private boolean logEndKnown;
  private boolean confirmed;

  /** Creates a floor without any known version. */
  public VersionFloor() {}

  /**
   * Updates the number of peers that are considered alive.
   *
   * @param peers the number of peers, excluding this instance
   */
  public void onLivePeers(int peers) {
    check(peers >= 0, "peers", "must not be negative");
    livePeers = peers;
  }

  /**
   * Handles a peer's answer.
   *
   * @param peer name of the peer
   * @param rememberedVersion version that this instance last announced to it, empty if it has none
   * @param peerVersion version that the peer itself has in force
   * @param peerIsReady whether the peer is ready itself; the answer of a peer that is not ready and
   *     remembers no version is not counted, because it may just have started
   */
  public void onPeerAnswer(
      String peer, OptionalLong rememberedVersion, long peerVersion, boolean peerIsReady) {
    notBlank(peer, "peer");
    if (confirmed) {
      return;
    }
    raiseFloor(Math.max(rememberedVersion.orElse(0), peerVersion));
    if (peerIsReady || rememberedVersion.isPresent()) {
      answeredPeers.add(peer);
    }
  }

  /**
   * Handles the end of the log as first read after this start; later values are ignored.
   *
   * @param nextOffset offset that the next record will get
   */
  public void onLogEnd(long nextOffset) {
    if (!confirmed && !logEndKnown) {
      raiseFloor(nextOffset);
      logEndKnown = true;
    }
  }

  /**
   * Returns the lowest version to serve with, according to the answers received so far.
   *
   * @return the floor
   */
  public long floor() {
    return floor;
  }

  /**
   * Decides whether the instance may serve; once ready, it stays ready.
   *
   * @param version configuration version in force
   * @return whether the instance is ready, with the reason
   */
  public Readiness readiness(long version) {
    notNegative(version, "version");
    if (confirmed) {
      return new Readiness(true, "version " + version + " has reached the floor " + floor);
    }
    int required = Math.min(REQUIRED_PEER_ANSWERS, livePeers);
    boolean enoughPeersAnswered = livePeers > 0 && answeredPeers.size() >= required;
    if (!enoughPeersAnswered && !logEndKnown) {
      return new Readiness(
          false,
          "the floor is unknown: %d of %d peers have answered, the end of the log is not read yet"
              .formatted(answeredPeers.size(), required));
    }
    if (version < floor) {
      return new Readiness(false, "version " + version + " is below the floor " + floor);
    }
    confirmed = true;
    return readiness(version);
  }

  private void raiseFloor(long version) {
    floor = Math.max(floor, version);
  }
}
