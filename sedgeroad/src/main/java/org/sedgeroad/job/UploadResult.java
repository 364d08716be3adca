package org.sedgeroad.job;

/** Outcome of an upload. */
public sealed interface UploadResult {

  /**
   * The file is stored.
   *
   * @param file description of the stored file
   */
  record Stored(BatchFile file) implements UploadResult {}

  /**
   * A line is invalid, so the file was not stored.
   *
   * @param line line number from 1, or 0 if the error concerns the whole file
   * @param message description of the error; with a line number it is a predicate whose subject is
   *     the line, for example "has no custom_id"
   */
  record BadLine(int line, String message) implements UploadResult {}

  /**
   * A store call failed, so the file does not count as uploaded.
   *
   * @param reason description of the failure
   */
  record StoreFailed(String reason) implements UploadResult {}
}
