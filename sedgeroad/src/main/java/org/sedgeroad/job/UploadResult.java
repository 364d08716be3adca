package org.sedgeroad.job;

/** Outcome of an upload. */
public sealed interface UploadResult {

  /**
   * The file is stored.
   *
   * @param file the file
   */
  record Stored(BatchFile file) implements UploadResult {}

  /**
   * A line is not a valid request; nothing was kept.
   *
   * @param line line number from 1, 0 for the whole file
   * @param message what is wrong with it
   */
  record BadLine(int line, String message) implements UploadResult {}

  /**
   * The store could not take the file; nothing counts as uploaded.
   *
   * @param reason description
   */
  record StoreFailed(String reason) implements UploadResult {}
}
