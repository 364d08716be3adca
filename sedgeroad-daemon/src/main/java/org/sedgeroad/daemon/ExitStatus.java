package org.sedgeroad.daemon;

/** Exit statuses of the program. */
final class ExitStatus {
  /** Everything was done. */
  static final int DONE = 0;

  /** An unexpected failure. */
  static final int FAILED = 1;

  /** Arguments, settings or statement are not valid. */
  static final int INVALID = 2;

  /** The system refused the statement. */
  static final int REFUSED = 3;

  /** The statement may have taken effect. */
  static final int UNKNOWN = 4;

  private ExitStatus() {}
}
