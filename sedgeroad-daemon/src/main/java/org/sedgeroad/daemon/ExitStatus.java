package org.sedgeroad.daemon;

/** Exit statuses of the program. */
final class ExitStatus {
  /** The subcommand succeeded. */
  static final int DONE = 0;

  /** An unexpected failure, for example of reading or writing a file. */
  static final int FAILED = 1;

  /** The arguments, settings or statements are not valid. */
  static final int INVALID = 2;

  /** The request was refused, could not be served or found nothing; it had no effect. */
  static final int REFUSED = 3;

  /** The outcome is unknown; the statement may have taken effect. */
  static final int UNKNOWN = 4;

  private ExitStatus() {}
}
