package org.cuminlatch.core.move;

import java.util.List;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.Snapshot;

/** Provides the target versions that take a route's traffic and their shares. */
@FunctionalInterface
public interface VersionShares {

  /**
   * Returns the shares of a route's traffic.
   *
   * @param snapshot configuration in force when the request began
   * @param route the route
   * @return one entry per target version, the shares sum to 1; empty if the service is unknown
   */
  List<VersionShare> sharesOf(Snapshot snapshot, Route route);

  /**
   * Share of a route's traffic that one target version takes.
   *
   * @param version name of the target version
   * @param share from 0 to 1
   */
  record VersionShare(String version, double share) {}
}
