package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Queue of updates to gossip, each a limited number of times; updates not yet sent come first. */
final class GossipQueue {

  private record Pending(Update update, int transmissions, Instant addedAt) {}

  /** Age after which an update is dropped and left to the synchronization of rosters. */
  private static final Duration UPDATE_LIFETIME = Duration.ofSeconds(10);

  private final Map<String, Pending> unsent = new LinkedHashMap<>();
  private final Map<String, Pending> alreadySent = new LinkedHashMap<>();

  /** Adds an update; it replaces a queued update of the same instance. */
  void add(Update update, Instant now) {
    alreadySent.remove(update.instance());
    unsent.put(update.instance(), new Pending(update, 0, now));
  }

  boolean isEmpty() {
    return unsent.isEmpty() && alreadySent.isEmpty();
  }

  /**
   * Returns the updates to send next and counts their transmission.
   *
   * @param maxBytes maximum total size of the updates
   * @param maxTransmissions number of transmissions after which an update is removed
   * @param now the time
   * @return the updates
   */
  List<Update> take(int maxBytes, int maxTransmissions, Instant now) {
    Instant oldestAllowed = now.minus(UPDATE_LIFETIME);
    unsent.values().removeIf(pending -> pending.addedAt().isBefore(oldestAllowed));
    alreadySent.values().removeIf(pending -> pending.addedAt().isBefore(oldestAllowed));
    List<Update> taken = new ArrayList<>();
    List<Pending> toResend = new ArrayList<>();
    int remainingBytes = takeFrom(unsent, maxBytes, maxTransmissions, taken, toResend);
    takeFrom(alreadySent, remainingBytes, maxTransmissions, taken, toResend);
    toResend.forEach(pending -> alreadySent.put(pending.update().instance(), pending));
    return taken;
  }

  private static int takeFrom(
      Map<String, Pending> source,
      int maxBytes,
      int maxTransmissions,
      List<Update> taken,
      List<Pending> toResend) {
    int remainingBytes = maxBytes;
    Iterator<Pending> iterator = source.values().iterator();
    while (iterator.hasNext()) {
      Pending next = iterator.next();
      int size = next.update().estimatedBytes();
      if (size > remainingBytes) {
        break;
      }
      remainingBytes -= size;
      taken.add(next.update());
      iterator.remove();
      if (next.transmissions() + 1 < maxTransmissions) {
        toResend.add(new Pending(next.update(), next.transmissions() + 1, next.addedAt()));
      }
    }
    return remainingBytes;
  }
}
