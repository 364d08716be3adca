package org.sedgeroad.daemon;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.sedgeroad.event.BoundedLogHandler;

/** Sends log events to standard output, one line each. */
public final class LogSetup {
  // Kept here because the log manager holds loggers weakly.
  private static final Logger EVENTS = Logger.getLogger("org.sedgeroad");

  private LogSetup() {}

  /** Keeps notices of libraries about their start off standard error. */
  static void quietLibraries() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.setLevel(Level.WARNING);
    }
  }

  /** Installs the handler. */
  public static void install() {
    quietLibraries();
    Handler handler = BoundedLogHandler.start(System.out);
    handler.setLevel(Level.ALL);
    EVENTS.setUseParentHandlers(false);
    EVENTS.addHandler(handler);
  }

  /** Writes out the lines that wait, before the process ends. */
  public static void flush() {
    for (Handler handler : EVENTS.getHandlers()) {
      handler.flush();
    }
  }
}
