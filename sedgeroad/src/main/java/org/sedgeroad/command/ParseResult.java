package org.sedgeroad.command;

import java.util.List;

/** Outcome of parsing the text of statements. */
public sealed interface ParseResult {

  /**
   * The text is valid.
   *
   * @param statements statements in order
   */
  record Parsed(List<Statement> statements) implements ParseResult {
    /** Copies the list. */
    public Parsed {
      statements = List.copyOf(statements);
    }
  }

  /**
   * The text is not valid; nothing of it is executed.
   *
   * @param line line from 1
   * @param column column from 1
   * @param message what was expected and what was found
   */
  record Invalid(int line, int column, String message) implements ParseResult {}
}
