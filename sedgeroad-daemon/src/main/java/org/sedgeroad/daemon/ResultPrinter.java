package org.sedgeroad.daemon;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints the results of statements and determines the exit status. */
final class ResultPrinter {
  private final boolean printTables;

  /**
   * Creates a printer.
   *
   * @param printTables whether to print the tables of statements that succeeded; statements that
   *     did not succeed are always reported
   */
  ResultPrinter(boolean printTables) {
    this.printTables = printTables;
  }

  /** Prints all results and returns the exit status, which is that of the last one. */
  int print(JsonNode body) {
    int status = ExitStatus.DONE;
    for (JsonNode result : body.path("results")) {
      status = printOne(result);
    }
    int skipped = body.path("statements").asInt() - body.path("results").size();
    if (skipped > 0) {
      System.err.println("statements not carried out because of this: " + skipped);
    }
    return status;
  }

  private int printOne(JsonNode result) {
    switch (result.path("outcome").asText()) {
      case "done" -> {
        if (printTables) {
          TablePrinter.print(result, System.out);
          if (result.has("next")) {
            System.out.println("next page: " + result.path("next").asText());
          }
        }
        return ExitStatus.DONE;
      }
      case "refused" -> {
        System.err.println("refused: " + result.path("reason").asText());
        if (result.has("winner")) {
          System.err.println("in force: " + result.path("winner").asText());
        }
        return ExitStatus.REFUSED;
      }
      case "unavailable" -> {
        System.err.println("not carried out: " + result.path("reason").asText());
        System.err.println("send it again after " + result.path("retry_at").asText());
        return ExitStatus.REFUSED;
      }
      default -> {
        System.err.println("outcome unknown: " + result.path("reason").asText());
        System.err.println("it is safe to send the statement again; that finds out");
        return ExitStatus.UNKNOWN;
      }
    }
  }

  /** Prints the progress of an unfinished job to standard error, as one line. */
  static void printProgress(JsonNode result) {
    int items = firstRowValue(result, "items");
    int open = firstRowValue(result, "open");
    System.err.println(
        "waiting: "
            + (items - open)
            + " of "
            + items
            + " items ended, "
            + firstRowValue(result, "failed")
            + " failed");
  }

  private static int firstRowValue(JsonNode result, String name) {
    for (int column = 0; column < result.path("columns").size(); column++) {
      if (result.path("columns").path(column).asText().equals(name)) {
        return result.path("rows").path(0).path(column).asInt();
      }
    }
    return 0;
  }
}
