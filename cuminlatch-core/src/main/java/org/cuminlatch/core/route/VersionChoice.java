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
 * <p>A hash of the service and the header's value maps a sticky request to a point between 0 and 1.
 * The versions other than the current one occupy the lower end of this interval, so that a caller
 * that has been assigned to the new version stays there while its share rises.
 */
final class VersionChoice {

  private static final int DISCARDED_HASH_BITS = 11;
  private static final double POINT_SCALE = 0x1.0p-53;

  private final VersionShares shares;

  VersionChoice(VersionShares shares) {
    this.shares = shares;
  }

  /** Returns the versions that may serve the request, starting with the chosen one. */
  List<String> choose(
      Snapshot snapshot, Route route, Optional<String> stickyValue, RandomGenerator random) {
    ServiceState service = snapshot.services().get(route.service());
    String current = service == null ? "" : service.current();
    List<VersionShare> sortedShares = sortedShares(shares.sharesOf(snapshot, route), current);
    double point =
        stickyValue.map(value -> point(route.service(), value)).orElseGet(random::nextDouble);
    return chosenFirst(sortedShares, point);
  }

  /** Returns the versions that may serve a sticky request, starting with the chosen one. */
  static List<String> rank(
      List<VersionShare> shares, String current, String service, String stickyValue) {
    return chosenFirst(sortedShares(shares, current), point(service, stickyValue));
  }

  private static List<VersionShare> sortedShares(List<VersionShare> shares, String current) {
    return shares.stream()
        .filter(entry -> entry.share() > 0)
        .sorted(
            Comparator.comparing((VersionShare entry) -> entry.version().equals(current))
                .thenComparing(VersionShare::version))
        .toList();
  }

  private static List<String> chosenFirst(List<VersionShare> sortedShares, double point) {
    if (sortedShares.size() <= 1) {
      return sortedShares.stream().map(VersionShare::version).toList();
    }
    String chosen = versionAt(sortedShares, point);
    return sortedShares.stream()
        .map(VersionShare::version)
        .sorted(Comparator.comparing(version -> !version.equals(chosen)))
        .toList();
  }

  private static String versionAt(List<VersionShare> sortedShares, double point) {
    double sum = 0;
    for (VersionShare entry : sortedShares) {
      sum += entry.share();
      if (point < sum) {
        return entry.version();
      }
    }
    return sortedShares.get(sortedShares.size() - 1).version();
  }

  private static double point(String service, String value) {
    return (StableHash.of(service, value) >>> DISCARDED_HASH_BITS) * POINT_SCALE;
  }
}
