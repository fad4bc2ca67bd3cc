package org.cuminlatch.core.account;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Derives proofs for {@link KeyValidity} from reads of the store, also after it has returned from
 * an older copy.
 *
 * <p>After a return the store may lack a version that it had acknowledged and that no node has
 * read. Its newest version then proves nothing until the operator has written the lost one again.
 * Not thread-safe.
 */
public final class StoreReadProofs {

  /**
   * Time after the notice of a return for which the version that was found first proves nothing. In
   * this time the operator writes a lost version again. Proofs from before the return last 4.75 s,
   * of which the store's absence and this period take about 4 s, so that few requests are refused.
   */
  public static final Duration REWRITE_PERIOD = Duration.ofSeconds(2);

  private OptionalLong version = OptionalLong.empty();
  private OptionalLong firstOfEra = OptionalLong.empty();
  private Optional<Duration> trustedFrom = Optional.empty();

  /** Creates the state of a process that has read nothing. */
  public StoreReadProofs() {}

  /**
   * Records that the store has returned from an older copy; what was read before proves nothing.
   *
   * @param now current time
   */
  public void recordReturn(Duration now) {
    version = OptionalLong.empty();
    firstOfEra = OptionalLong.empty();
    trustedFrom = Optional.of(notNull(now, "now").plus(REWRITE_PERIOD));
  }

  /**
   * Records a version that was read from the store.
   *
   * @param read the version
   */
  public void recordVersion(long read) {
    version = OptionalLong.of(Math.max(read, version.orElse(read)));
    firstOfEra = firstOfEra.isPresent() ? firstOfEra : version;
  }

  /**
   * Returns what a read proves that has reached the end of the stream.
   *
   * @param askedAt time at which the read began
   * @return the proof; empty if the store has shown no version or may lack an acknowledged one
   */
  public Optional<KeyValidity.Proof> prove(Duration askedAt) {
    notNull(askedAt, "askedAt");
    if (version.isEmpty()) {
      return Optional.empty();
    }
    boolean early = trustedFrom.filter(from -> askedAt.compareTo(from) < 0).isPresent();
    return early && version.equals(firstOfEra)
        ? Optional.empty()
        : Optional.of(new KeyValidity.Proof(version.getAsLong(), askedAt));
  }
}
