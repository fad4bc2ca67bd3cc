package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;

import java.util.Comparator;

/**
 * Kind and name that together identify a resource.
 *
 * @param kind name of the kind
 * @param name name of the resource among those of its kind
 */
public record ResourceKey(String kind, String name) implements Comparable<ResourceKey> {

  /** Kind of a service in a reference; a service exists once it has a target version. */
  public static final String SERVICE = "service";

  private static final Comparator<ResourceKey> ORDER =
      Comparator.comparing(ResourceKey::kind).thenComparing(ResourceKey::name);

  /** Validates the components. */
  public ResourceKey {
    notBlank(kind, "kind");
    notBlank(name, "name");
  }

  /**
   * Returns the key of a service.
   *
   * @param name name of the service
   * @return the key
   */
  public static ResourceKey service(String name) {
    return new ResourceKey(SERVICE, name);
  }

  /**
   * Returns the key of a route.
   *
   * @param name name of the route
   * @return the key
   */
  public static ResourceKey route(String name) {
    return new ResourceKey(RecordKinds.ROUTE, name);
  }

  /**
   * Returns the key of a move.
   *
   * @param name name of the move
   * @return the key
   */
  public static ResourceKey move(String name) {
    return new ResourceKey(RecordKinds.MOVE, name);
  }

  @Override
  public int compareTo(ResourceKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
