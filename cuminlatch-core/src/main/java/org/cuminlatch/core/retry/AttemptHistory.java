package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * History of ended attempts at a target, kept by the target's node and bounded in age and number.
 *
 * <p>It can prove that an attempt was not run only if it is complete since the attempt began. Not
 * thread-safe.
 *
 * @param <T> type of the value that is stored for an attempt
 */
public final class AttemptHistory<T> {

  /** Time for which an attempt is retained. */
  public static final Duration RETENTION = Duration.ofSeconds(60);

  /** Maximum number of retained attempts. */
  public static final int MAX_ATTEMPTS = 8192;

  private final Map<AttemptId, Entry<T>> entries = new LinkedHashMap<>();
  private Instant completeSince;

  /**
   * Creates an empty history.
   *
   * @param now current time; the history has no information on earlier attempts
   */
  public AttemptHistory(Instant now) {
    this.completeSince = notNull(now, "now");
  }

  /**
   * Adds an attempt or replaces its value.
   *
   * @param attempt the attempt
   * @param value the value to store for it
   * @param now current time
   */
  public void put(AttemptId attempt, T value, Instant now) {
    removeExpired(now);
    entries.remove(attempt);
    entries.put(attempt, new Entry<>(notNull(value, "value"), now));
  }

  /**
   * Returns the value of an attempt.
   *
   * @param attempt the attempt
   * @return the stored value; empty if the attempt is not in the history
   */
  public Optional<T> find(AttemptId attempt) {
    return Optional.ofNullable(entries.get(attempt)).map(Entry::value);
  }

  /**
   * Returns whether the history goes back far enough without a gap. If so, an attempt of the given
   * age that it does not contain was certainly never received.
   *
   * @param age time since the attempt began
   * @param now current time
   * @return true if no attempt has been removed from the history since then
   */
  public boolean covers(Duration age, Instant now) {
    return now.minus(age).isAfter(completeSince);
  }

  private void removeExpired(Instant now) {
    Iterator<Entry<T>> entriesOldestFirst = entries.values().iterator();
    Instant expiry = now.minus(RETENTION);
    int surplus = entries.size() - MAX_ATTEMPTS + 1;
    while (entriesOldestFirst.hasNext()) {
      Entry<T> entry = entriesOldestFirst.next();
      if (surplus <= 0 && !entry.addedAt().isBefore(expiry)) {
        break;
      }
      entriesOldestFirst.remove();
      surplus--;
      completeSince = entry.addedAt().isAfter(completeSince) ? entry.addedAt() : completeSince;
    }
  }

  private record Entry<T>(T value, Instant addedAt) {}
}
