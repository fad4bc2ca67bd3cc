package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keys whose requests the target beside a node has been given, in memory only.
 *
 * <p>A request whose key is not known is run only if no earlier submission can have run without the
 * table knowing. That is so for a key made after the node came to own it, and for a key of unknown
 * age once the node has owned it for {@link #RETENTION}, the time within which callers resubmit. In
 * all other cases the key is in doubt and is not run. Not safe for use by many threads.
 */
public final class IdempotencyTable {

  /** How long a key is remembered, and within what time callers may resubmit. */
  public static final Duration RETENTION = Duration.ofMinutes(2);

  /** Most by which the clocks of a caller and a node may differ. */
  public static final Duration CLOCK_SKEW = Duration.ofSeconds(2);

  /** Most keys that are remembered. */
  public static final int MAX_KEYS = 16_384;

  private final Map<IdempotencyKey, Entry> entries = new LinkedHashMap<>();
  private Instant completeSince;

  /**
   * Creates an empty table.
   *
   * @param now present time; nothing is known of requests before it
   */
  public IdempotencyTable(Instant now) {
    this.completeSince = notNull(now, "now");
  }

  /**
   * Claims a key for an attempt.
   *
   * @param key the key
   * @param attempt the attempt that would run the request
   * @param ownedSince since when the node has owned the key
   * @param now present time
   * @return whether the attempt may run
   */
  public Claim claim(IdempotencyKey key, AttemptId attempt, Instant ownedSince, Instant now) {
    forgetOld(now);
    Entry known = entries.get(key);
    if (known != null) {
      return new Claim(Decision.SEEN, Optional.of(known.attempt()));
    }
    if (!isNew(key, ownedSince, now)) {
      return new Claim(Decision.IN_DOUBT, Optional.empty());
    }
    entries.put(key, new Entry(attempt, now));
    return new Claim(Decision.RUN, Optional.empty());
  }

  /**
   * Gives a key back after its attempt was proven not run.
   *
   * @param key the key
   * @param attempt the attempt that claimed it
   */
  public void release(IdempotencyKey key, AttemptId attempt) {
    Entry known = entries.get(key);
    if (known != null && known.attempt().equals(attempt)) {
      entries.remove(key);
    }
  }

  private boolean isNew(IdempotencyKey key, Instant ownedSince, Instant now) {
    Instant safeSince = ownedSince.isAfter(completeSince) ? ownedSince : completeSince;
    Instant created =
        key.createdAt()
            .filter(time -> !time.isAfter(now.plus(CLOCK_SKEW)))
            .orElse(now.minus(RETENTION));
    return created.minus(CLOCK_SKEW).isAfter(safeSince);
  }

  private void forgetOld(Instant now) {
    Iterator<Entry> oldest = entries.values().iterator();
    Instant limit = now.minus(RETENTION).minus(CLOCK_SKEW);
    int surplus = entries.size() - MAX_KEYS + 1;
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (surplus <= 0 && !entry.since().isBefore(limit)) {
        break;
      }
      oldest.remove();
      surplus--;
      completeSince = entry.since().isAfter(completeSince) ? entry.since() : completeSince;
    }
  }

  /** What may be done with a request. */
  public enum Decision {
    /** It may run; the key is claimed. */
    RUN,
    /** A submission of it was given to the target already. */
    SEEN,
    /** An earlier submission may have run without the table knowing. */
    IN_DOUBT
  }

  /**
   * Answer to a claim.
   *
   * @param decision what may be done
   * @param earlier the attempt that claimed the key before
   */
  public record Claim(Decision decision, Optional<AttemptId> earlier) {}

  private record Entry(AttemptId attempt, Instant since) {}
}
