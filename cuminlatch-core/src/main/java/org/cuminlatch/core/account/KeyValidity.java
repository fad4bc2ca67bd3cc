package org.cuminlatch.core.account;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides whether a node may accept requests by the keys of its configuration, also while it has no
 * contact with the store.
 *
 * <p>A key that is withdrawn must be refused everywhere within a bound. A node therefore accepts
 * keys only while it has a proof, not older than the bound, that no version newer than its own had
 * been stored. Times are those of {@link ElapsedTime}. Not thread-safe.
 */
public final class KeyValidity {

  /** Share of the bound that covers the drift between the clocks of two machines. */
  private static final int MARGIN_DIVISOR = 20;

  /**
   * Maximum number of proofs of versions that are not in force yet. A node that pulls a version
   * gets the newest one, so that older proofs are dropped first.
   */
  private static final int MAX_PROOFS = 16;

  /** Share of the bound up to which the usual exchange of versions has time. */
  private static final double PULL_SHARE = 0.66;

  /** Time after which a pull that brought no newer version is repeated. */
  private static final Duration PULL_INTERVAL = Duration.ofMillis(900);

  private final Duration maxAge;
  private final Duration pullAge;
  private final InquirySchedule inquiries;

  /** Proofs in the order of their times, which is also that of their versions. */
  private final List<Proof> proofs = new ArrayList<>();

  private Optional<Duration> lastPullAt = Optional.empty();

  /**
   * Creates the state of a node that has no proof yet.
   *
   * @param bound time after which a withdrawn key must be refused
   */
  public KeyValidity(Duration bound) {
    notNull(bound, "bound");
    check(!bound.isZero() && !bound.isNegative(), "bound", "must be positive");
    this.maxAge = bound.minus(bound.dividedBy(MARGIN_DIVISOR));
    this.pullAge = Duration.ofNanos((long) (bound.toNanos() * PULL_SHARE));
    this.inquiries = new InquirySchedule(bound);
  }

  /**
   * Proof that a version was the newest one in the store.
   *
   * @param version the version
   * @param provenAt time at which it was the newest one, or an earlier time
   */
  public record Proof(long version, Duration provenAt) {

    /** Checks the fields. */
    public Proof {
      notNull(provenAt, "provenAt");
    }

    private boolean makesNeedless(Proof other) {
      return version <= other.version && provenAt.compareTo(other.provenAt) >= 0;
    }
  }

  /**
   * Records a proof. It counts once its version or a newer one is in force.
   *
   * <p>A proof of an older version than the one in force is ignored. It says that the store has
   * lost a version, so that it may have lost an even newer one, too.
   *
   * @param proof the proof
   * @param inForce version in force
   */
  public void record(Proof proof, long inForce) {
    notNull(proof, "proof");
    dropSuperseded(inForce);
    if (proof.version() < inForce
        || proofs.stream().anyMatch(known -> known.makesNeedless(proof))) {
      return;
    }
    proofs.removeIf(proof::makesNeedless);
    int index = 0;
    while (index < proofs.size() && proofs.get(index).provenAt().compareTo(proof.provenAt()) < 0) {
      index++;
    }
    proofs.add(index, proof);
    if (proofs.size() > MAX_PROOFS) {
      proofs.remove(0);
    }
  }

  private void dropSuperseded(long inForce) {
    while (proofs.size() > 1 && proofs.get(1).version() <= inForce) {
      proofs.remove(0);
    }
  }

  /**
   * Returns whether the keys of a version may be accepted.
   *
   * @param version the version in force
   * @param now the current time
   * @return whether the version was the newest one recently enough
   */
  public boolean accepts(long version, Duration now) {
    return age(version, now).filter(age -> age.compareTo(maxAge) <= 0).isPresent();
  }

  /**
   * Returns the age of the latest proof for a version.
   *
   * @param version the version in force
   * @param now the current time
   * @return the age; empty if there is no proof for the version
   */
  public Optional<Duration> age(long version, Duration now) {
    notNull(now, "now");
    for (int i = proofs.size() - 1; i >= 0; i--) {
      Proof proof = proofs.get(i);
      if (proof.version() <= version) {
        return Optional.of(now.minus(proof.provenAt()));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the latest proof, which is what a node tells others.
   *
   * @return the proof; empty if there is none
   */
  public Optional<Proof> latestProof() {
    return proofs.isEmpty() ? Optional.empty() : Optional.of(proofs.get(proofs.size() - 1));
  }

  /**
   * Decides whether to pull the configuration from a node that has proved a newer version. The
   * usual exchange waits for further versions, and the proof for the own version may be too old by
   * then. A positive answer counts as a pull.
   *
   * @param version the version in force
   * @param now the current time
   * @return whether to pull now
   */
  public boolean shouldPull(long version, Duration now) {
    boolean behind = latestProof().filter(proof -> proof.version() > version).isPresent();
    boolean urgent = age(version, now).filter(age -> age.compareTo(pullAge) < 0).isEmpty();
    boolean recent =
        lastPullAt.filter(last -> now.minus(last).compareTo(PULL_INTERVAL) < 0).isPresent();
    if (!behind || !urgent || recent) {
      return false;
    }
    lastPullAt = Optional.of(now);
    return true;
  }

  /**
   * Returns the inquiries that are due now; each counts as made.
   *
   * @param version the version in force
   * @param now the current time
   * @param role returns what this node does for its zone
   * @return the inquiries, nearest source first
   */
  public List<Inquiry> dueInquiries(
      long version, Duration now, Supplier<InquirySchedule.Role> role) {
    Optional<Duration> latestAge = latestProof().map(proof -> now.minus(proof.provenAt()));
    return inquiries.due(latestAge, age(version, now), now, role);
  }

  /**
   * Records that there was nobody to ask, so that the next source is asked without delay.
   *
   * @param source the source
   */
  public void markUnavailable(Inquiry.Source source) {
    inquiries.markUnavailable(source);
  }
}
