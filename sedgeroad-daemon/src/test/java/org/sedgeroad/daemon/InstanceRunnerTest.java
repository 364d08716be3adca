package org.sedgeroad.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/** Guards against a planned stop that leaves no trace in the log. */
class InstanceRunnerTest {

  /** Program that logs its start, and its end some time after the stop signal. */
  static final class Program {
    private Program() {}

    public static void main(String[] arguments) {
      LogSetup.install();
      EventLog log = EventLog.of("instance");
      InstanceRunner.run(() -> log.log(LogEvent.INSTANCE_STARTED), () -> close(log));
    }

    private static void close(EventLog log) {
      try {
        Thread.sleep(300);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
      log.log(LogEvent.INSTANCE_STOPPED);
    }
  }

  @Nested
  class StopSignal {
    /** The log manager removes its handlers when the virtual machine begins to end. */
    @Test
    void isLoggedUntilTheEnd() throws IOException, InterruptedException {
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  Program.class.getName())
              .redirectErrorStream(true)
              .start();
      try (BufferedReader output = process.inputReader()) {
        assertTrue(output.readLine().contains(LogEvent.INSTANCE_STARTED.text()));
        // Process.destroy would close the output.
        process.toHandle().destroy();
        String rest = output.lines().collect(Collectors.joining());
        assertTrue(rest.contains(LogEvent.INSTANCE_STOPPED.text()), rest);
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(143, process.exitValue());
      } finally {
        process.destroyForcibly();
      }
    }
  }
}
