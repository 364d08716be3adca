package org.sedgeroad.command;

import java.util.List;

/**
 * Table that a statement returns.
 *
 * @param columns column names
 * @param rows rows with one value for each column
 */
public record Table(List<String> columns, List<List<String>> rows) {

  /** Creates a table with copies of the lists. */
  public Table {
    columns = List.copyOf(columns);
    rows = List.copyOf(rows);
  }

  /** Returns a table with one column and one row. */
  static Table of(String column, String value) {
    return new Table(List.of(column), List.of(List.of(value)));
  }
}
