package org.sedgeroad.testing.http;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Static methods shared by the main classes of the stand-ins. */
public final class ProcessMain {
  private static final int USAGE_ERROR = 2;

  private ProcessMain() {}

  /**
   * Sets the annotated options of a bean. Prints the usage and exits with status 2 if an option is
   * invalid.
   */
  public static void parse(Object bean, String[] arguments) {
    // The startup messages of the HTTP library would hide the output of the program.
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.WARNING);
    CmdLineParser parser = new CmdLineParser(bean);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException failure) {
      System.err.println(failure.getMessage());
      parser.printUsage(System.err);
      System.exit(USAGE_ERROR);
    }
  }

  /**
   * Prints the line that reports that the process is ready, then waits until the process is
   * terminated, and closes the stand-in.
   */
  public static void run(String readyLine, AutoCloseable standIn) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> close(standIn), "shutdown"));
    System.out.println(readyLine);
    System.out.flush();
    try {
      Thread.currentThread().join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void close(AutoCloseable standIn) {
    try {
      standIn.close();
    } catch (Exception failure) {
      System.err.println("close failed: " + failure);
    }
  }
}
