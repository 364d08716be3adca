package org.sedgeroad.testing.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Static methods that read processor time from {@code /proc}. */
final class ProcessorTime {
  /** USER_HZ of Linux, the unit of the counters in {@code /proc}. */
  private static final double TICKS_PER_SECOND = 100;

  /**
   * Index of the user time in {@code /proc/PID/stat}, counted from 0 after the name of the command;
   * the system time follows.
   */
  private static final int USER_FIELD = 11;

  /**
   * Number of fields from {@link #USER_FIELD} on: user and system time of the process, then of its
   * ended children.
   */
  private static final int OWN_FIELDS = 4;

  /** Index of the idle time in the first line of {@code /proc/stat}; index 0 is the label. */
  private static final int IDLE_FIELD = 4;

  private static final int IO_WAIT_FIELD = 5;

  private ProcessorTime() {}

  /**
   * Reading of the ticks of all processors since the start of the machine.
   *
   * @param busy ticks that weren't idle or waiting for input/output
   * @param total all ticks
   */
  record MachineReading(long busy, long total) {
    /** Returns the busy fraction of the time between this reading and a later one, 0 to 1. */
    double busyFraction(MachineReading later) {
      long all = later.total - total;
      return all == 0 ? 0 : (double) (later.busy - busy) / all;
    }

    /**
     * Returns a processor time as a fraction of the time that all processors had between this
     * reading and a later one, 0 to 1.
     *
     * @param later the later reading
     * @param seconds processor time in seconds, summed over the processors
     */
    double fractionOf(MachineReading later, double seconds) {
      long all = later.total - total;
      return all == 0 ? 0 : seconds * TICKS_PER_SECOND / all;
    }
  }

  /** Reads the processor time of the whole machine. */
  static MachineReading machine() {
    String[] fields = read(Path.of("/proc/stat")).lines().findFirst().orElse("").split("\\s+");
    long total = 0;
    // The fields from index 9 on are guest times, which the user times already contain.
    for (int index = 1; index < Math.min(fields.length, 9); index++) {
      total += Long.parseLong(fields[index]);
    }
    long idle = Long.parseLong(fields[IDLE_FIELD]) + Long.parseLong(fields[IO_WAIT_FIELD]);
    return new MachineReading(total - idle, total);
  }

  /** Returns the seconds of processor time of a process, user and system. */
  static double seconds(long processId) {
    String text = read(Path.of("/proc/" + processId + "/stat"));
    // The name of the command may contain spaces, so the fields are counted from its closing
    // bracket.
    String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
    long ticks = Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[USER_FIELD + 1]);
    return ticks / TICKS_PER_SECOND;
  }

  /** Returns the seconds of processor time of this process and of its children that have ended. */
  static double ownSeconds() {
    String text = read(Path.of("/proc/self/stat"));
    String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
    long ticks = 0;
    for (int field = USER_FIELD; field < USER_FIELD + OWN_FIELDS; field++) {
      ticks += Long.parseLong(fields[field]);
    }
    return ticks / TICKS_PER_SECOND;
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
