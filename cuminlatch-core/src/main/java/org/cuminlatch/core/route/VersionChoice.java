package org.cuminlatch.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.move.VersionShares;
import org.cuminlatch.core.move.VersionShares.VersionShare;

/**
 * Chooses target versions by their shares.
 *
 * <p>A sticky request's place between 0 and 1 is a hash of the service and the header's value. The
 * versions other than the current one hold the lower end, so that a caller that has come to the new
 * version stays there while its share rises.
 */
final class VersionChoice {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final double UNIT = 0x1.0p-53;

  private final VersionShares shares;

  VersionChoice(VersionShares shares) {
    this.shares = shares;
  }

  /** Returns the versions that may serve the request, the chosen one first. */
  List<String> choose(
      Snapshot snapshot, Route route, Optional<String> stickyValue, RandomGenerator random) {
    List<VersionShare> ordered =
        shares.sharesOf(snapshot, route).stream()
            .filter(entry -> entry.share() > 0)
            .sorted(currentLast(snapshot, route))
            .toList();
    if (ordered.size() <= 1) {
      return ordered.stream().map(VersionShare::version).toList();
    }
    double place =
        stickyValue.map(value -> place(route.service(), value)).orElseGet(random::nextDouble);
    String chosen = at(ordered, place);
    return ordered.stream()
        .map(VersionShare::version)
        .sorted(Comparator.comparing(version -> !version.equals(chosen)))
        .toList();
  }

  private static Comparator<VersionShare> currentLast(Snapshot snapshot, Route route) {
    var service = snapshot.services().get(route.service());
    String current = service == null ? "" : service.current();
    return Comparator.comparing((VersionShare entry) -> entry.version().equals(current))
        .thenComparing(VersionShare::version);
  }

  private static String at(List<VersionShare> ordered, double place) {
    double sum = 0;
    for (VersionShare entry : ordered) {
      sum += entry.share();
      if (place < sum) {
        return entry.version();
      }
    }
    return ordered.get(ordered.size() - 1).version();
  }

  private static double place(String service, String value) {
    long hash = hash(hash(FNV_OFFSET, service), value);
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return ((hash ^ (hash >>> 33)) >>> 11) * UNIT;
  }

  private static long hash(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return (hash ^ 0xff) * FNV_PRIME;
  }
}
