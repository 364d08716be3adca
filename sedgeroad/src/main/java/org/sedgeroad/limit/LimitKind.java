package org.sedgeroad.limit;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of voted limits. */
public enum LimitKind {
  /** Requests per second, over all failure domains. */
  REQUESTS_PER_SECOND("requests-per-second", 0, LimitKind.MAX_RATE),
  /** Tokens of prompt and output per second, over all failure domains. */
  TOKENS_PER_SECOND("tokens-per-second", 0, LimitKind.MAX_RATE),
  /** Largest share of the batch capacity, in percent, while other members wait. */
  BATCH_SHARE("batch-share", 0, 100),
  /** Priority among members, 1 to 9, where 9 is the highest. */
  PRIORITY("priority", 1, 9),
  /** Minute of the local day by which batch jobs must be complete. */
  JOB_DEADLINE("job-deadline", 0, 24 * 60 - 1);

  /** Highest rate, low enough that the micro-units of one minute fit into a long. */
  private static final long MAX_RATE = 1_000_000_000L;

  private final String text;
  private final long min;
  private final long max;

  LimitKind(String text, long min, long max) {
    this.text = text;
    this.min = min;
    this.max = max;
  }

  /** Returns the kind with the given name, for example {@code priority}. */
  public static Optional<LimitKind> find(String text) {
    return Arrays.stream(values()).filter(kind -> kind.text.equals(text)).findFirst();
  }

  /** Returns the name that operators use. */
  public String toText() {
    return text;
  }

  /** Returns the field of a limits object, for example {@code requests_per_second}. */
  public String toField() {
    return text.replace('-', '_');
  }

  /** Returns whether the kind limits a rate that is divided among the failure domains. */
  public boolean isRate() {
    return this == REQUESTS_PER_SECOND || this == TOKENS_PER_SECOND;
  }

  /** Returns whether a value is in the kind's range. */
  public boolean isValid(long value) {
    return value >= min && value <= max;
  }
}
