package org.sedgeroad.testing.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Resources that a Java process has used since its start.
 *
 * @param seconds processor time in seconds
 * @param bytes bytes read and written, files and sockets together
 */
record ProcessUse(double seconds, long bytes) {
  private static final Pattern USED = Pattern.compile("used (\\d+)K");

  /**
   * Reads the use of a process from {@code /proc}.
   *
   * @throws UncheckedIOException if the use can't be read, for example after the end of the process
   */
  static ProcessUse of(long processId) {
    try {
      long bytes =
          Files.readAllLines(Path.of("/proc/" + processId + "/io")).stream()
              .filter(line -> line.startsWith("rchar:") || line.startsWith("wchar:"))
              .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(':') + 1).strip()))
              .sum();
      return new ProcessUse(ProcessorTime.seconds(processId), bytes);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Runs a garbage collection in a process and returns the used heap in megabytes. */
  static double heapMegabytes(long processId) {
    runTool(processId, "GC.run");
    Matcher matcher = USED.matcher(runTool(processId, "GC.heap_info").split("Metaspace")[0]);
    long kilobytes = 0;
    while (matcher.find()) {
      kilobytes += Long.parseLong(matcher.group(1));
    }
    return kilobytes / 1_024.0;
  }

  private static String runTool(long processId, String command) {
    String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    try {
      Process process = new ProcessBuilder(tool, Long.toString(processId), command).start();
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      process.waitFor();
      return output;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException("interrupted", interrupted);
    }
  }
}
