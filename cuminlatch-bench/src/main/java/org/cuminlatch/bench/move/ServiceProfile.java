package org.cuminlatch.bench.move;

import java.util.List;

/**
 * A service of a user at today's size.
 *
 * @param user name of the user
 * @param service name of the service
 * @param zones availability zones, as region and zone
 * @param targets number of targets of each version
 * @param slots slots of a target
 * @param callsPerSecond calls to the service
 * @param latencyMillis median latency of a call
 * @param routes routes with their parts of the traffic, the rarest last
 */
record ServiceProfile(
    String user,
    String service,
    List<Zone> zones,
    int targets,
    int slots,
    double callsPerSecond,
    double latencyMillis,
    List<RoutePart> routes) {

  /** A zone of a region. */
  record Zone(String region, String zone) {}

  /** A route and its part of the calls. */
  record RoutePart(String route, double part) {}

  private static final List<Zone> YAGMUR =
      List.of(
          new Zone("ege", "izmir"),
          new Zone("ege", "aydin"),
          new Zone("marmara", "bursa"),
          new Zone("marmara", "kocaeli"));

  private static final List<Zone> BARRACHOD =
      List.of(
          new Zone("leinster", "a"),
          new Zone("leinster", "b"),
          new Zone("munster", "a"),
          new Zone("munster", "b"));

  /** Returns the services of both users. */
  static List<ServiceProfile> all() {
    return List.of(
        new ServiceProfile(
            "yagmur", "siparis", YAGMUR, 9, 6, 100, 40, routes("orders", "quotes", "crane")),
        new ServiceProfile(
            "yagmur", "saha", YAGMUR, 4, 6, 20, 150, routes("packs", "specs", "index")),
        new ServiceProfile(
            "barrachod", "bookings", BARRACHOD, 9, 15, 250, 40, routes("stock", "book", "deposit")),
        new ServiceProfile(
            "barrachod", "dispatch", BARRACHOD, 4, 15, 40, 100, routes("sheets", "venues", "log")));
  }

  private static List<RoutePart> routes(String most, String tenth, String rare) {
    return List.of(new RoutePart(most, 0.89), new RoutePart(tenth, 0.1), new RoutePart(rare, 0.01));
  }
}
