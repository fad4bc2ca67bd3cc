package org.cuminlatch.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.hash.StableHash;
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

  private static final int UNIT_SHIFT = 11;
  private static final double UNIT = 0x1.0p-53;

  private final VersionShares shares;

  VersionChoice(VersionShares shares) {
    this.shares = shares;
  }

  /** Returns the versions that may serve the request, the chosen one first. */
  List<String> choose(
      Snapshot snapshot, Route route, Optional<String> stickyValue, RandomGenerator random) {
    ServiceState service = snapshot.services().get(route.service());
    String current = service == null ? "" : service.current();
    List<VersionShare> ordered = ordered(shares.sharesOf(snapshot, route), current);
    double place =
        stickyValue.map(value -> place(route.service(), value)).orElseGet(random::nextDouble);
    return chosenFirst(ordered, place);
  }

  /** Returns the versions in the order in which they may serve a sticky request. */
  static List<String> order(
      List<VersionShare> shares, String current, String service, String stickyValue) {
    return chosenFirst(ordered(shares, current), place(service, stickyValue));
  }

  private static List<VersionShare> ordered(List<VersionShare> shares, String current) {
    return shares.stream()
        .filter(entry -> entry.share() > 0)
        .sorted(
            Comparator.comparing((VersionShare entry) -> entry.version().equals(current))
                .thenComparing(VersionShare::version))
        .toList();
  }

  private static List<String> chosenFirst(List<VersionShare> ordered, double place) {
    if (ordered.size() <= 1) {
      return ordered.stream().map(VersionShare::version).toList();
    }
    String chosen = at(ordered, place);
    return ordered.stream()
        .map(VersionShare::version)
        .sorted(Comparator.comparing(version -> !version.equals(chosen)))
        .toList();
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
    return (StableHash.of(service, value) >>> UNIT_SHIFT) * UNIT;
  }
}
