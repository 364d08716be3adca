package org.sedgeroad.command;

import java.time.LocalTime;
import java.util.OptionalLong;
import org.sedgeroad.limit.LimitKind;
import org.sedgeroad.limit.LimitValues;

/** Written forms of limit values. */
final class LimitTexts {
  private LimitTexts() {}

  /** Returns the value of a text, empty if it is not one of the kind. */
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

  /** Returns the written form of a value. */
  static String format(LimitKind kind, long value) {
    return kind == LimitKind.JOB_DEADLINE
        ? LocalTime.ofSecondOfDay(value * 60).toString()
        : Long.toString(value);
  }

  /** Returns what a value of a kind must look like. */
  static String expectation(LimitKind kind) {
    return switch (kind) {
      case JOB_DEADLINE -> "a local time of day HH:MM";
      case BATCH_SHARE -> "a percentage from 0 to 100";
      case PRIORITY -> "a whole number from 1 to 9";
      default -> "a whole number from 0 to 1000000000";
    };
  }
}
