package org.sedgeroad.daemon;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.sedgeroad.event.BoundedLogHandler;

/** Configures logging so that log events go to standard output, one line each. */
public final class LogSetup {
  // A strong reference, because the log manager holds loggers by weak references only.
  private static final Logger EVENT_LOGGER = Logger.getLogger("org.sedgeroad");

  private LogSetup() {}

  /** Suppresses messages below warnings on standard error; some libraries log them at startup. */
  static void suppressLibraryInfoMessages() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.setLevel(Level.WARNING);
    }
  }

  /** Sends log events to standard output and suppresses library messages below warnings. */
  public static void install() {
    suppressLibraryInfoMessages();
    Handler handler = BoundedLogHandler.start(System.out);
    handler.setLevel(Level.ALL);
    EVENT_LOGGER.setUseParentHandlers(false);
    EVENT_LOGGER.addHandler(handler);
  }

  /** Writes the queued lines; to be called before the process ends. */
  public static void flush() {
    for (Handler handler : EVENT_LOGGER.getHandlers()) {
      handler.flush();
    }
  }
}
