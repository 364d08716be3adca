package org.sedgeroad.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints results as aligned columns. */
final class TablePrinter {
  private TablePrinter() {}

  /** Prints the column names, the rows and the number of rows of a result. */
  static void print(JsonNode result, PrintStream out) {
    List<List<String>> lines = new ArrayList<>();
    lines.add(texts(result.path("columns")));
    result.path("rows").forEach(row -> lines.add(texts(row)));
    int[] widths = new int[lines.get(0).size()];
    for (List<String> line : lines) {
      for (int column = 0; column < widths.length; column++) {
        widths[column] = Math.max(widths[column], line.get(column).length());
      }
    }
    for (List<String> line : lines) {
      StringBuilder text = new StringBuilder();
      for (int column = 0; column < widths.length; column++) {
        text.append(String.format("%-" + Math.max(1, widths[column]) + "s  ", line.get(column)));
      }
      out.println(text.toString().stripTrailing());
    }
    int rows = lines.size() - 1;
    out.println("(" + rows + (rows == 1 ? " row)" : " rows)"));
  }

  private static List<String> texts(JsonNode values) {
    List<String> texts = new ArrayList<>();
    values.forEach(value -> texts.add(value.asText()));
    return texts;
  }
}
