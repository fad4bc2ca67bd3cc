package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/** Replica that folds one record at a time and builds its snapshot lazily. */
final class FoldingReplica implements ConfigurationReplica {

  private final ReplicaCodecs codecs;
  private final Set<Integer> schemaVersions;
  private final Consumer<FoldEvent> events;
  private final RecordRules rules;
  private final RetainedRecords retained = new RetainedRecords();
  private Ledger ledger;
  private RouteReader routes;
  private long version;
  private Snapshot snapshot;

  FoldingReplica(ReplicaCodecs codecs, Set<Integer> schemaVersions, Consumer<FoldEvent> events) {
    this.codecs = codecs;
    this.schemaVersions = Set.copyOf(schemaVersions);
    this.events = events;
    this.ledger = new Ledger(codecs.checkpoints());
    this.rules = new RecordRules(codecs.bodies());
    this.routes = new RouteReader(codecs.bodies(), schemaVersions);
  }

  @Override
  public long version() {
    return version;
  }

  @Override
  public Snapshot snapshot() {
    if (snapshot == null) {
      snapshot = buildSnapshot();
    }
    return snapshot;
  }

  @Override
  public int fold(List<LogRecord> records) {
    int folded = 0;
    for (LogRecord record : notNull(records, "records")) {
      if (record.offset() > version) {
        events.accept(new FoldEvent.OffsetGap(version, record.offset()));
        return folded;
      }
      if (record.offset() == version) {
        foldRecord(record);
        folded++;
      }
    }
    return folded;
  }

  @Override
  public List<LogRecord> recordsFrom(long offset, int maxBytes) {
    return retained.from(notNegative(offset, "offset"), maxBytes);
  }

  @Override
  public long oldestRetained() {
    return retained.oldest(version);
  }

  @Override
  public Bytes checkpoint() {
    return CheckpointFrame.wrap(codecs.checkpoints().encode(ledger.state(version)));
  }

  @Override
  public boolean restore(Bytes checkpoint) {
    LedgerState state = codecs.checkpoints().decode(CheckpointFrame.unwrap(checkpoint));
    if (state.version() <= version) {
      return false;
    }
    Ledger restored = rebuildLedger(state);
    RouteReader reader = new RouteReader(codecs.bodies(), schemaVersions);
    ledger = restored;
    routes = reader;
    version = state.version();
    snapshot = null;
    retained.clear();
    storedRoutes().forEach(this::readRoute);
    return true;
  }

  private void foldRecord(LogRecord record) {
    version = record.offset() + 1;
    snapshot = null;
    retained.add(record);
    Optional<RecordEnvelope> envelope = Optional.empty();
    Optional<Refusal> refusal = Optional.empty();
    try {
      RecordEnvelope decoded = decode(record.content());
      envelope = Optional.of(decoded);
      checkAndApply(decoded);
    } catch (RefusalException e) {
      refusal = Optional.of(e.refusal());
    }
    events.accept(
        new FoldEvent.Decided(
            record.offset(),
            envelope.map(RecordEnvelope::recordId),
            envelope.map(RecordEnvelope::key),
            refusal));
    if (refusal.isEmpty()) {
      envelope.map(RecordEnvelope::key).flatMap(ledger::resource).ifPresent(this::reportUnreadable);
    }
  }

  private RecordEnvelope decode(Bytes content) {
    RefusalException.refuseUnless(
        content.length() <= RecordEnvelope.MAX_RECORD_BYTES,
        RefusalReason.TOO_LARGE,
        "record has %d bytes, expected at most %d"
            .formatted(content.length(), RecordEnvelope.MAX_RECORD_BYTES));
    try {
      return codecs.envelopes().decode(content);
    } catch (CuminlatchException e) {
      throw RefusalException.of(RefusalReason.MALFORMED, e.getMessage());
    }
  }

  private void checkAndApply(RecordEnvelope envelope) {
    RefusalException.refuseUnless(
        !ledger.hasRecordId(envelope.recordId()),
        RefusalReason.REPEATED_RECORD_ID,
        "record id " + envelope.recordId() + " has already been decided");
    ledger.addRecordId(envelope.recordId());
    Optional<Resource> resource = rules.check(envelope, ledger);
    new RecordApplier(ledger).apply(envelope, resource, version);
    refreshRoute(envelope);
  }

  private void refreshRoute(RecordEnvelope envelope) {
    ResourceKey key = ResourceKey.route(envelope.resource());
    if (envelope.kind().equals(RecordKinds.ROUTE)) {
      ledger.resource(key).ifPresent(this::readRoute);
    } else if (envelope.kind().equals(RecordKinds.ROUTE_REMOVAL)) {
      routes.remove(key.name());
    }
  }

  private void readRoute(StoredResource stored) {
    routes.read(stored);
  }

  private void reportUnreadable(StoredResource stored) {
    ResourceStatus status = status(stored);
    if (status.isBehind()) {
      events.accept(new FoldEvent.Unreadable(stored.key(), status));
    }
  }

  private ResourceStatus status(StoredResource stored) {
    if (stored.key().kind().equals(RecordKinds.ROUTE)) {
      long inForce =
          routes.inForce(stored.key().name()).map(RouteReader.RouteInForce::version).orElse(0L);
      return new ResourceStatus(stored.version(), inForce);
    }
    boolean readable = !RecordKinds.isExtension(stored.key().kind());
    return new ResourceStatus(stored.version(), readable ? stored.version() : 0);
  }

  private Snapshot buildSnapshot() {
    Map<String, Route> readableRoutes = new HashMap<>();
    Map<ResourceKey, ResourceStatus> statuses = new HashMap<>();
    for (StoredResource stored : ledger.resources().values()) {
      statuses.put(stored.key(), status(stored));
    }
    storedRoutes()
        .forEach(
            stored -> {
              String name = stored.key().name();
              routes.inForce(name).ifPresent(inForce -> readableRoutes.put(name, inForce.route()));
            });
    return new Snapshot(
        version, ledger.hash(version), readableRoutes, ledger.services(), ledger.moves(), statuses);
  }

  private List<StoredResource> storedRoutes() {
    return ledger.resources().values().stream()
        .filter(stored -> stored.key().kind().equals(RecordKinds.ROUTE))
        .toList();
  }

  private Ledger rebuildLedger(LedgerState state) {
    try {
      return Ledger.of(state, codecs.bodies(), codecs.checkpoints());
    } catch (CuminlatchException
        | IllegalArgumentException
        | ClassCastException
        | NoSuchElementException e) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_CHECKPOINT,
          Step.CHECKPOINT,
          "-",
          "checkpoint is inconsistent: " + e.getMessage(),
          e);
    }
  }
}
