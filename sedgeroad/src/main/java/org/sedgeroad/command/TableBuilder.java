package org.sedgeroad.command;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Collects the rows of a {@link Table}. Not thread-safe. */
final class TableBuilder {
  private final List<String> columns;
  private final List<List<String>> rows = new ArrayList<>();

  TableBuilder(String... columns) {
    this.columns = List.of(columns);
  }

  /** Adds a row; each value is converted by {@link String#valueOf(Object)}. */
  TableBuilder add(Object... values) {
    if (values.length != columns.size()) {
      throw new IllegalArgumentException(values.length + " values for the columns " + columns);
    }
    rows.add(Arrays.stream(values).map(String::valueOf).toList());
    return this;
  }

  int rowCount() {
    return rows.size();
  }

  Table build() {
    return new Table(columns, rows);
  }

  CommandResult toResult() {
    return CommandResult.done(build());
  }
}
