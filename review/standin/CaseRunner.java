package org.sedgeroad.review;

import java.nio.file.Path;

/** Runs a case and ends the process with its exit status. */
final class CaseRunner {
  /** The rule held. */
  static final int HELD = 0;

  /** The rule was broken. */
  static final int BROKEN = 1;

  /** The case could not run. */
  static final int NOT_RUN = 2;

  /** A case, which returns an exit status. */
  interface Case {
    int run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception;
  }

  private CaseRunner() {}

  /** Runs a case with its disruption, or without it if the variable TROUBLE is 0. */
  static void run(String[] arguments, Case next) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = NOT_RUN;
    try (CaseRecord record = new CaseRecord(Path.of(arguments[0]));
        Deployment deployment = new Deployment(record)) {
      status = next.run(deployment, record, trouble);
    } catch (Throwable failure) {
      failure.printStackTrace();
      status = NOT_RUN;
    }
    System.exit(status);
  }
}
