package org.cuminlatch.wire.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.ConfigurationReplicas;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.RefusalReason;
import org.cuminlatch.core.config.Resource;
import org.cuminlatch.core.config.Snapshot;

/** A replica with its own log and the events that it has emitted. */
final class ReplicaFixture {

  final List<LogRecord> log = new ArrayList<>();
  final List<FoldEvent> events = new ArrayList<>();
  final ConfigurationReplica replica;
  private int nextId;

  private ReplicaFixture(Set<Integer> schemaVersions) {
    replica =
        ConfigurationReplicas.create(ConfigurationCodecs.protobuf(), schemaVersions, events::add);
  }

  static ReplicaFixture create() {
    return new ReplicaFixture(ConfigurationCodecs.SCHEMA_VERSIONS);
  }

  static ReplicaFixture withSchemaVersions(Integer... schemaVersions) {
    return new ReplicaFixture(Set.of(schemaVersions));
  }

  Optional<RefusalReason> publish(Resource resource) {
    return publish(resource, OptionalLong.empty());
  }

  Optional<RefusalReason> publish(Resource resource, OptionalLong expectedVersion) {
    return append(ConfigurationCodecs.encode("id-" + nextId++, resource, expectedVersion));
  }

  Optional<RefusalReason> append(Bytes content) {
    LogRecord record = new LogRecord(log.size(), content);
    log.add(record);
    replica.fold(List.of(record));
    return verdict(record.offset());
  }

  void foldAll(List<LogRecord> records) {
    log.addAll(records);
    replica.fold(records);
  }

  Snapshot snapshot() {
    return replica.snapshot();
  }

  Optional<RefusalReason> verdict(long offset) {
    return decisions().stream()
        .filter(decision -> decision.offset() == offset)
        .findFirst()
        .orElseThrow()
        .refusal()
        .map(refusal -> refusal.reason());
  }

  List<FoldEvent.Decided> decisions() {
    return events.stream()
        .filter(FoldEvent.Decided.class::isInstance)
        .map(FoldEvent.Decided.class::cast)
        .toList();
  }
}
