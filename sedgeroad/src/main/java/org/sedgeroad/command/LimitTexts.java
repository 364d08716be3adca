package org.sedgeroad.command;

import java.time.LocalTime;
import java.util.OptionalLong;
import org.sedgeroad.limit.LimitKind;
import org.sedgeroad.limit.LimitValues;

/** Parses and formats limit values. */
final class LimitTexts {
  private LimitTexts() {}

  /** Parses a value; returns empty if the text is not valid for the kind. */
  static OptionalLong parse(LimitKind kind, String text) {
    if (kind == LimitKind.JOB_DEADLINE) {
      return LimitValues.minuteOfDay(text);
    }
    if (!text.matches("[0-9]{1,18}")) {
      return OptionalLong.empty();
    }
    long value = Long.parseLong(text);
    return kind.isValid(value) ? OptionalLong.of(value) : OptionalLong.empty();
  }

  /** Returns the form of a value that operators read and write. */
  static String format(LimitKind kind, long value) {
    return kind == LimitKind.JOB_DEADLINE
        ? LocalTime.ofSecondOfDay(value * 60).toString()
        : Long.toString(value);
  }

  /** Returns a description of the valid values of a kind, for error messages. */
  static String expectation(LimitKind kind) {
    return switch (kind) {
      case JOB_DEADLINE -> "a local time of day HH:MM";
      case BATCH_SHARE -> "a percentage from 0 to 100";
      case PRIORITY -> "a whole number from 1 to 9";
      default -> "a whole number from 0 to 1000000000";
    };
  }
}
