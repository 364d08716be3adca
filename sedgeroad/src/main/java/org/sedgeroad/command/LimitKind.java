package org.sedgeroad.command;

import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import java.util.Locale;
import java.util.Optional;

/** Kinds of voted limits. */
public enum LimitKind {
  /** Requests per second of a member, over all instances. */
  REQUESTS_PER_SECOND(0, 10_000_000),
  /** Tokens per second of a member, over all instances. */
  TOKENS_PER_SECOND(0, 1_000_000_000),
  /** Percent of the batch capacity. */
  BATCH_SHARE(0, 100),
  /** Priority, 9 first. */
  PRIORITY(1, 9),
  /** Local time of day by which batch jobs are due. */
  JOB_DEADLINE(0, 0);

  private final long least;
  private final long most;

  LimitKind(long least, long most) {
    this.least = least;
    this.most = most;
  }

  /** Returns the form used in statements, for example {@code requests-per-second}. */
  public String toText() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the field of the limits object, for example {@code requests_per_second}. */
  public String toField() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns what a value must look like. */
  public String expectation() {
    return this == JOB_DEADLINE
        ? "a local time of day HH:MM"
        : "a whole number from " + least + " to " + most;
  }

  /** Returns the value in its stored form, empty if it is not valid. */
  public Optional<String> normalize(String value) {
    try {
      if (this == JOB_DEADLINE) {
        return Optional.of(LocalTime.parse(value).toString());
      }
      long number = Long.parseLong(value);
      return number >= least && number <= most
          ? Optional.of(Long.toString(number))
          : Optional.empty();
    } catch (NumberFormatException | DateTimeParseException invalid) {
      return Optional.empty();
    }
  }
}
