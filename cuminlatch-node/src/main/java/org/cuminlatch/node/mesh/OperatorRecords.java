package org.cuminlatch.node.mesh;

import java.util.Optional;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.move.MoveOrder;
import org.cuminlatch.core.move.MoveStatement;

/** Translates the records that operators and the mesh write for each other. */
public interface OperatorRecords {

  /**
   * Decodes a record of an operator.
   *
   * @param item the record
   * @return what it says, empty if it is of another kind or can't be read
   */
  Optional<Decoded> decode(KeyedStore.Item item);

  /**
   * Decodes a statement of the mesh.
   *
   * @param item the record
   * @return the statement, empty if it can't be read
   */
  Optional<MoveStatement> statement(KeyedStore.Item item);

  /**
   * Returns the key under which statements on a service stand.
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
   * What a record of an operator says: one of the two.
   *
   * @param configuration a whole configuration
   * @param order an order to move calls
   */
  record Decoded(Optional<Snapshot> configuration, Optional<MoveOrder> order) {

    /** A record that holds a configuration. */
    public static Decoded of(Snapshot configuration) {
      return new Decoded(Optional.of(configuration), Optional.empty());
    }

    /** A record that holds an order. */
    public static Decoded of(MoveOrder order) {
      return new Decoded(Optional.empty(), Optional.of(order));
    }
  }
}
