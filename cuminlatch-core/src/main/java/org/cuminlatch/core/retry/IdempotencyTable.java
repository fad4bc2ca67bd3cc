package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * In-memory table of the idempotency keys of requests that were passed to the local target.
 *
 * <p>A request whose key is not in the table is run only if no earlier submission can have run
 * unrecorded. This holds for a key that was created after its node became the key's owner, and for
 * a key of unknown age once the node has owned it for {@link #RETENTION}, the time within which
 * callers resubmit. In all other cases the key is in doubt and its request is not run. Not
 * thread-safe.
 */
public final class IdempotencyTable {

  /** Time for which a key is retained, and within which callers may resubmit a request. */
  public static final Duration RETENTION = Duration.ofMinutes(2);

  /** Maximum difference between the clocks of a caller and a node. */
  public static final Duration CLOCK_SKEW = Duration.ofSeconds(2);

  /** Maximum number of retained keys. */
  public static final int MAX_KEYS = 16_384;

  private final Map<IdempotencyKey, Entry> entries = new LinkedHashMap<>();
  private Instant completeSince;

  /**
   * Creates an empty table.
   *
   * @param now current time; the table has no information on earlier requests
   */
  public IdempotencyTable(Instant now) {
    this.completeSince = notNull(now, "now");
  }

  /**
   * Claims a key for an attempt.
   *
   * @param key the key
   * @param attempt the attempt that is to run the request
   * @param ownedSince time since which the node has owned the key
   * @param now current time
   * @return the decision whether the attempt may run
   */
  public Claim claim(IdempotencyKey key, AttemptId attempt, Instant ownedSince, Instant now) {
    removeExpired(now);
    Entry existing = entries.get(key);
    if (existing != null) {
      return new Claim(Decision.SEEN, Optional.of(existing.attempt()));
    }
    if (!isNew(key, ownedSince, now)) {
      return new Claim(Decision.IN_DOUBT, Optional.empty());
    }
    entries.put(key, new Entry(attempt, now));
    return new Claim(Decision.RUN, Optional.empty());
  }

  /**
   * Releases a key whose attempt has provably not run; has no effect if another attempt holds it.
   *
   * @param key the key
   * @param attempt the attempt that claimed it
   */
  public void release(IdempotencyKey key, AttemptId attempt) {
    Entry existing = entries.get(key);
    if (existing != null && existing.attempt().equals(attempt)) {
      entries.remove(key);
    }
  }

  private boolean isNew(IdempotencyKey key, Instant ownedSince, Instant now) {
    Instant completeFrom = ownedSince.isAfter(completeSince) ? ownedSince : completeSince;
    Instant created =
        key.createdAt()
            .filter(time -> !time.isAfter(now.plus(CLOCK_SKEW)))
            .orElse(now.minus(RETENTION));
    return created.minus(CLOCK_SKEW).isAfter(completeFrom);
  }

  private void removeExpired(Instant now) {
    Iterator<Entry> entriesOldestFirst = entries.values().iterator();
    Instant expiry = now.minus(RETENTION).minus(CLOCK_SKEW);
    int surplus = entries.size() - MAX_KEYS + 1;
    while (entriesOldestFirst.hasNext()) {
      Entry entry = entriesOldestFirst.next();
      if (surplus <= 0 && !entry.claimedAt().isBefore(expiry)) {
        break;
      }
      entriesOldestFirst.remove();
      surplus--;
      completeSince = entry.claimedAt().isAfter(completeSince) ? entry.claimedAt() : completeSince;
    }
  }

  /** Decision on an attempt to run a request. */
  public enum Decision {
    /** The attempt may run and has claimed the key. */
    RUN,
    /** An earlier submission of the request has already been passed to the target. */
    SEEN,
    /** An earlier submission may have run unrecorded. */
    IN_DOUBT
  }

  /**
   * Result of a claim.
   *
   * @param decision decision on the attempt
   * @param earlier the attempt that has already claimed the key; empty unless the key was seen
   */
  public record Claim(Decision decision, Optional<AttemptId> earlier) {}

  private record Entry(AttemptId attempt, Instant claimedAt) {}
}
