package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Updates still to be passed on, each a limited number of times, the least sent first. */
final class GossipQueue {

  private record Pending(Update update, int sent, Instant addedAt) {}

  private static final Duration LIFETIME = Duration.ofSeconds(10);

  private final Map<String, Pending> fresh = new LinkedHashMap<>();
  private final Map<String, Pending> repeated = new LinkedHashMap<>();

  void add(Update update, Instant now) {
    repeated.remove(update.instance());
    fresh.put(update.instance(), new Pending(update, 0, now));
  }

  boolean isEmpty() {
    return fresh.isEmpty() && repeated.isEmpty();
  }

  /** Takes updates to send; those that are too old are left to the comparison of rosters. */
  List<Update> take(int maxBytes, int maxTransmissions, Instant now) {
    Instant oldest = now.minus(LIFETIME);
    fresh.values().removeIf(pending -> pending.addedAt().isBefore(oldest));
    repeated.values().removeIf(pending -> pending.addedAt().isBefore(oldest));
    List<Update> taken = new ArrayList<>();
    List<Pending> again = new ArrayList<>();
    int left = takeFrom(fresh, maxBytes, maxTransmissions, taken, again);
    takeFrom(repeated, left, maxTransmissions, taken, again);
    again.forEach(pending -> repeated.put(pending.update().instance(), pending));
    return taken;
  }

  private static int takeFrom(
      Map<String, Pending> source,
      int maxBytes,
      int maxTransmissions,
      List<Update> taken,
      List<Pending> again) {
    int left = maxBytes;
    Iterator<Pending> iterator = source.values().iterator();
    while (iterator.hasNext()) {
      Pending next = iterator.next();
      int size = next.update().estimatedBytes();
      if (size > left) {
        break;
      }
      left -= size;
      taken.add(next.update());
      iterator.remove();
      if (next.sent() + 1 < maxTransmissions) {
        again.add(new Pending(next.update(), next.sent() + 1, next.addedAt()));
      }
    }
    return left;
  }
}
