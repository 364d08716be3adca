package org.sedgeroad.command;

import java.util.List;

/** Outcome of parsing a text of statements. */
public sealed interface ParseResult {

  /**
   * The text is valid.
   *
   * @param statements statements in order
   */
  record Parsed(List<Statement> statements) implements ParseResult {
    /** Creates a result with a copy of the list. */
    public Parsed {
      statements = List.copyOf(statements);
    }
  }

  /**
   * The text is not valid; none of its statements is executed.
   *
   * @param line line of the error, from 1
   * @param column column of the error, from 1
   * @param message what was expected and what was found
   */
  record Invalid(int line, int column, String message) implements ParseResult {}
}
