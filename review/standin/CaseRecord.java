package org.sedgeroad.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with times. Thread-safe. */
final class CaseRecord implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter file;

  CaseRecord(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
  }

  synchronized void add(String line) {
    file.printf("%8.3f  %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    file.flush();
  }

  /** Adds a line and prints it. */
  void report(String line) {
    add(line);
    System.out.println(line);
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
