package org.sedgeroad.limit;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of voted limits. */
public enum LimitKind {
  /** Requests a second, over all failure domains. */
  REQUESTS_PER_SECOND("requests-per-second", 0, LimitKind.MAX_RATE),
  /** Tokens of prompt and output a second, over all failure domains. */
  TOKENS_PER_SECOND("tokens-per-second", 0, LimitKind.MAX_RATE),
  /** Largest part of the batch capacity, in percent, while others wait. */
  BATCH_SHARE("batch-share", 0, 100),
  /** Priority among members, 9 is the highest. */
  PRIORITY("priority", 1, 9),
  /** Minute of the local day by which batch jobs are due. */
  JOB_DEADLINE("job-deadline", 0, 24 * 60 - 1);

  /** Keeps micro-units of one minute within a long. */
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

  /** Returns whether the kind bounds a rate that the failure domains share. */
  public boolean isRate() {
    return this == REQUESTS_PER_SECOND || this == TOKENS_PER_SECOND;
  }

  /** Returns whether a value is in the kind's range. */
  public boolean isValid(long value) {
    return value >= min && value <= max;
  }
}
