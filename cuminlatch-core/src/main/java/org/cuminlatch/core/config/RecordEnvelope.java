package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.OptionalLong;

/**
 * A configuration record as it stands on the log, its body still opaque.
 *
 * @param recordId unique id chosen by the appender; repeats of an id are dropped by the fold
 * @param kind name of the kind, one of {@link RecordKinds} or a kind of a newer release
 * @param resource name of the resource that the record is about
 * @param schemaVersion version of the schema of the body, from 1
 * @param expectedVersion configuration version of the resource that the operator last saw; 0 asks
 *     that the resource does not exist; empty asks nothing
 * @param body the encoded resource
 */
public record RecordEnvelope(
    String recordId,
    String kind,
    String resource,
    int schemaVersion,
    OptionalLong expectedVersion,
    Bytes body) {

  /** Largest body that the fold accepts, in bytes. */
  public static final int MAX_BODY_BYTES = 16 * 1024;

  /** Checks the fields. */
  public RecordEnvelope {
    notBlank(recordId, "recordId");
    notBlank(kind, "kind");
    notBlank(resource, "resource");
    check(schemaVersion >= 1, "schemaVersion", "must be at least 1");
    notNull(expectedVersion, "expectedVersion");
    notNull(body, "body");
  }
}
