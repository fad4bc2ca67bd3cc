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
 * @param mesh name of the mesh; frames of another mesh are refused
 * @param instance unique name of the instance
 * @param locality region and availability zone of the instance
 * @param controlListen address for control messages, UDP and TCP
 * @param seeds control addresses to join by
 * @param callListen address for forwarded calls
 * @param httpListen address for callers
 * @param operatorListen address of the operator pages
 * @param target the target beside the node
 * @param logUris addresses of the platform's log
 * @param crossRegionBytesPerSecond budget of this node for call bytes to other regions
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

  /** Checks the fields and copies the lists. */
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
   * The target beside the node.
   *
   * @param uri base address of the target
   * @param service service that it runs
   * @param version target version that it runs
   * @param slots requests that it takes at a time
   * @param connections most open connections to it
   */
  public record Target(URI uri, String service, String version, int slots, int connections) {

    /** Checks the fields. */
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
    /** Lines for people. */
    TEXT
  }
}
