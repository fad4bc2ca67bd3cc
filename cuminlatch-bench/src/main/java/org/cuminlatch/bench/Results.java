package org.cuminlatch.bench;

import java.util.List;

/**
 * Figures of a run as a table.
 *
 * @param title what was measured
 * @param columns names of the columns, each with its unit
 * @param rows one list of cells per row, as long as the columns
 * @param notes remarks that belong to the figures
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
