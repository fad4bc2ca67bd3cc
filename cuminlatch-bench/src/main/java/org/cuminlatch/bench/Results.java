package org.cuminlatch.bench;

import java.util.List;

/**
 * Measured values of a run as a table.
 *
 * @param title what was measured
 * @param columns names of the columns, each with its unit
 * @param rows one list of cells per row, with one cell per column
 * @param notes remarks on the measured values
 */
public record Results(
    String title, List<String> columns, List<List<String>> rows, List<String> notes) {

  /** Copies the lists. */
  public Results {
    columns = List.copyOf(columns);
    rows = List.copyOf(rows);
    notes = List.copyOf(notes);
  }
}
