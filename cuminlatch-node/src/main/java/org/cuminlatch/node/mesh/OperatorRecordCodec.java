package org.cuminlatch.node.mesh;

import java.util.Optional;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.move.MoveOrder;
import org.cuminlatch.core.move.MoveStatement;

/** Decodes the records of operators, and encodes and decodes the mesh's statements on moves. */
public interface OperatorRecordCodec {

  /**
   * Decodes a record of an operator.
   *
   * @param item the record
   * @return its content, empty if it is of another kind or can't be decoded
   */
  Optional<Decoded> decode(KeyedStore.Item item);

  /**
   * Returns the availability zone that a record evacuates if it has a value, and returns to service
   * otherwise.
   *
   * @param key key of the record
   * @return name of the zone; empty if the record is of another kind
   */
  Optional<String> evacuatedZone(String key);

  /**
   * Decodes a statement of the mesh.
   *
   * @param item the record
   * @return the statement, empty if it can't be decoded
   */
  Optional<MoveStatement> decodeStatement(KeyedStore.Item item);

  /**
   * Returns the key of the statements on a service.
   *
   * @param service name of the service
   * @return the key
   */
  String statementKey(String service);

  /**
   * Encodes a statement of the mesh.
   *
   * @param statement the statement
   * @return value of its record
   */
  byte[] encode(MoveStatement statement);

  /**
   * Content of an operator's record: exactly one of the two.
   *
   * @param configuration a complete configuration
   * @param order an order for a move
   */
  record Decoded(Optional<Snapshot> configuration, Optional<MoveOrder> order) {

    /** Returns the content of a record that holds a configuration. */
    public static Decoded of(Snapshot configuration) {
      return new Decoded(Optional.of(configuration), Optional.empty());
    }

    /** Returns the content of a record that holds an order. */
    public static Decoded of(MoveOrder order) {
      return new Decoded(Optional.empty(), Optional.of(order));
    }
  }
}
