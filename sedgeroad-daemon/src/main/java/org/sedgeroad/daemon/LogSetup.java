package org.sedgeroad.daemon;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends log events to standard error, one line each. */
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
    Handler handler = new ConsoleHandler();
    handler.setLevel(Level.ALL);
    handler.setFormatter(
        new Formatter() {
          @Override
          public String format(LogRecord entry) {
            // The message is one JSON object already.
            return entry.getMessage() + System.lineSeparator();
          }
        });
    EVENTS.setUseParentHandlers(false);
    EVENTS.addHandler(handler);
  }
}
