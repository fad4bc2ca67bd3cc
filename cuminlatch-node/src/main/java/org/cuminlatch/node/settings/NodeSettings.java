package org.cuminlatch.node.settings;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.net.URI;
import java.util.List;
import java.util.Set;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;

/**
 * Checked settings of a node.
 *
 * @param mesh name of the mesh; frames of other meshes are rejected
 * @param instance unique name of the instance
 * @param locality region and availability zone of the instance
 * @param controlListen address on which control messages are received over UDP and TCP
 * @param seeds control addresses of members to join the mesh through
 * @param callListen address on which calls forwarded by other nodes are received
 * @param httpListen address on which callers are served over HTTP
 * @param operatorListen address of the operator pages
 * @param target the local target
 * @param logUris addresses of the platform's log
 * @param crossRegionBytesPerSecond budget of this node for call bytes sent to other regions, in
 *     bytes per second
 * @param schemaVersions schema versions that the node understands
 * @param layout layout of the log lines
 */
public record NodeSettings(
    String mesh,
    String instance,
    Locality locality,
    Address controlListen,
    List<Address> seeds,
    Address callListen,
    Address httpListen,
    Address operatorListen,
    Target target,
    List<URI> logUris,
    int crossRegionBytesPerSecond,
    Set<Integer> schemaVersions,
    LogLayout layout) {

  /** Validates the components and copies the collections. */
  public NodeSettings {
    notBlank(mesh, "mesh");
    notBlank(instance, "instance");
    notNull(locality, "locality");
    notNull(controlListen, "controlListen");
    seeds = List.copyOf(notNull(seeds, "seeds"));
    notNull(callListen, "callListen");
    notNull(httpListen, "httpListen");
    notNull(operatorListen, "operatorListen");
    notNull(target, "target");
    logUris = List.copyOf(notNull(logUris, "logUris"));
    schemaVersions = Set.copyOf(notNull(schemaVersions, "schemaVersions"));
    notNull(layout, "layout");
  }

  /**
   * The local target, which runs beside the node.
   *
   * @param uri base address of the target
   * @param service service that the target runs
   * @param version target version that the target runs
   * @param slots number of requests that the target handles at the same time
   * @param connections maximum number of open connections to the target
   */
  public record Target(URI uri, String service, String version, int slots, int connections) {

    /** Validates the components. */
    public Target {
      notNull(uri, "uri");
      notBlank(service, "service");
      notBlank(version, "version");
    }
  }

  /** Layouts of the log lines. */
  public enum LogLayout {
    /** One JSON object per line. */
    JSON,
    /** Human-readable lines. */
    TEXT
  }
}
