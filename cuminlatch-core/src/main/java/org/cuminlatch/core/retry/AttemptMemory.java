package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What the node beside a target remembers of attempts that have ended, bounded in time and number.
 *
 * <p>It can prove that an attempt was not run only as far back as its memory reaches without a gap.
 * Not safe for use by many threads.
 *
 * @param <T> type of what is kept of an attempt
 */
public final class AttemptMemory<T> {

  /** How long an attempt is remembered. */
  public static final Duration RETENTION = Duration.ofSeconds(60);

  /** Most attempts that are remembered. */
  public static final int MAX_ATTEMPTS = 8192;

  private final Map<AttemptId, Entry<T>> entries = new LinkedHashMap<>();
  private Instant completeSince;

  /**
   * Creates an empty memory.
   *
   * @param now present time; nothing is known of attempts before it
   */
  public AttemptMemory(Instant now) {
    this.completeSince = notNull(now, "now");
  }

  /**
   * Remembers an attempt.
   *
   * @param attempt the attempt
   * @param kept what is kept of it
   * @param now present time
   */
  public void remember(AttemptId attempt, T kept, Instant now) {
    forgetOld(now);
    entries.remove(attempt);
    entries.put(attempt, new Entry<>(notNull(kept, "kept"), now));
  }

  /**
   * Returns what is kept of an attempt.
   *
   * @param attempt the attempt
   * @return what was kept, empty if the attempt is not remembered
   */
  public Optional<T> find(AttemptId attempt) {
    return Optional.ofNullable(entries.get(attempt)).map(Entry::kept);
  }

  /**
   * Returns whether an attempt that is not remembered was certainly never seen.
   *
   * @param age time since the attempt was begun
   * @param now present time
   * @return true if the memory has no gap since then
   */
  public boolean reachesBack(Duration age, Instant now) {
    return now.minus(age).isAfter(completeSince);
  }

  private void forgetOld(Instant now) {
    Iterator<Entry<T>> oldest = entries.values().iterator();
    Instant limit = now.minus(RETENTION);
    int surplus = entries.size() - MAX_ATTEMPTS + 1;
    while (oldest.hasNext()) {
      Entry<T> entry = oldest.next();
      if (surplus <= 0 && !entry.since().isBefore(limit)) {
        break;
      }
      oldest.remove();
      surplus--;
      completeSince = entry.since().isAfter(completeSince) ? entry.since() : completeSince;
    }
  }

  private record Entry<T>(T kept, Instant since) {}
}
