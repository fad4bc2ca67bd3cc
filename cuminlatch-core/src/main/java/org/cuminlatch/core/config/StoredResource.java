package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A resource as the fold keeps it, whether or not this node can read it.
 *
 * @param key kind and name
 * @param version offset of its last accepted record plus one
 * @param bodies bodies in the order in which a node tries to read them: those of the last record
 *     first, the newest schema version first
 */
public record StoredResource(ResourceKey key, long version, List<StoredBody> bodies) {

  /** Maximum number of bodies kept per schema version: the newest and the one it replaced. */
  static final int MAX_BODIES_PER_SCHEMA = 2;

  /** Validates the components and copies the list. */
  public StoredResource {
    notNull(key, "key");
    bodies = List.copyOf(notNull(bodies, "bodies"));
    check(!bodies.isEmpty(), "bodies", "must not be empty");
  }

  /**
   * Creates the resource that results from an accepted record.
   *
   * @param envelope the record
   * @param version version of the resource at that record
   * @param earlier the resource before it, empty if there was none
   * @return the resource with the bodies of the record before the earlier ones
   */
  static StoredResource of(
      RecordEnvelope envelope, long version, Optional<StoredResource> earlier) {
    List<StoredBody> bodies = new ArrayList<>();
    envelope.bodies().stream()
        .sorted(Comparator.comparingInt(SchemaBody::schemaVersion).reversed())
        .map(body -> new StoredBody(version, envelope.references(), body))
        .forEach(bodies::add);
    earlier.ifPresent(resource -> bodies.addAll(resource.bodies));
    return new StoredResource(envelope.key(), version, newestOfEachSchema(bodies));
  }

  /**
   * Returns the newest body in the base schema version.
   *
   * @return the body, empty if no record carried one
   */
  Optional<SchemaBody> baseBody() {
    return bodies.stream()
        .map(StoredBody::body)
        .filter(body -> body.schemaVersion() == RecordEnvelope.BASE_SCHEMA_VERSION)
        .findFirst();
  }

  /**
   * Returns the resources that the last accepted record refers to.
   *
   * @return the references
   */
  List<ResourceKey> references() {
    return bodies.get(0).references();
  }

  /**
   * Returns whether any body kept refers to a resource.
   *
   * @param other the resource
   * @return true if one does
   */
  boolean refersTo(ResourceKey other) {
    return bodies.stream().anyMatch(body -> body.references().contains(other));
  }

  private static List<StoredBody> newestOfEachSchema(List<StoredBody> bodies) {
    Map<Integer, Integer> kept = new HashMap<>();
    return bodies.stream()
        .filter(
            body ->
                kept.merge(body.body().schemaVersion(), 1, Integer::sum) <= MAX_BODIES_PER_SCHEMA)
        .toList();
  }
}
