package org.cuminlatch.bench.move;

import java.util.List;

/**
 * Size and traffic of a service of one of the two users of the mesh.
 *
 * @param user name of the user
 * @param service name of the service
 * @param zones availability zones, each with its region
 * @param targets number of targets of each version
 * @param slots slots of a target
 * @param callsPerSecond rate of calls to the service
 * @param latencyMillis median latency of a call
 * @param routes routes with their shares of the calls, the least used last
 */
record ServiceProfile(
    String user,
    String service,
    List<Zone> zones,
    int targets,
    int slots,
    double callsPerSecond,
    double latencyMillis,
    List<RouteShare> routes) {

  /** An availability zone and its region. */
  record Zone(String region, String zone) {}

  /** A route and its share of the calls. */
  record RouteShare(String route, double callShare) {}

  private static final List<Zone> YAGMUR_ZONES =
      List.of(
          new Zone("ege", "izmir"),
          new Zone("ege", "aydin"),
          new Zone("marmara", "bursa"),
          new Zone("marmara", "kocaeli"));

  private static final List<Zone> BARRACHOD_ZONES =
      List.of(
          new Zone("leinster", "a"),
          new Zone("leinster", "b"),
          new Zone("munster", "a"),
          new Zone("munster", "b"));

  /** Returns two services of each user. */
  static List<ServiceProfile> all() {
    return List.of(
        new ServiceProfile(
            "yagmur", "siparis", YAGMUR_ZONES, 9, 6, 100, 40, routes("orders", "quotes", "crane")),
        new ServiceProfile(
            "yagmur", "saha", YAGMUR_ZONES, 4, 6, 20, 150, routes("packs", "specs", "index")),
        new ServiceProfile(
            "barrachod",
            "bookings",
            BARRACHOD_ZONES,
            9,
            15,
            250,
            40,
            routes("stock", "book", "deposit")),
        new ServiceProfile(
            "barrachod",
            "dispatch",
            BARRACHOD_ZONES,
            4,
            15,
            40,
            100,
            routes("sheets", "venues", "log")));
  }

  private static List<RouteShare> routes(String main, String minor, String rare) {
    return List.of(
        new RouteShare(main, 0.89), new RouteShare(minor, 0.1), new RouteShare(rare, 0.01));
  }
}
