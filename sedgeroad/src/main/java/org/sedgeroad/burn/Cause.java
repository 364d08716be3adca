package org.sedgeroad.burn;

import java.util.Locale;

/** What spent a part of an error budget. */
public enum Cause {
  /** Waiting: all workers were busy, or a batch item ended after its job's deadline. */
  QUEUE,
  /** An endpoint failed or was slow. */
  ENDPOINT,
  /** Refused although no limit was used up. */
  REFUSAL,
  /** Refused because a voted limit was used up. */
  LIMIT;

  /** Returns the form used in reports, for example {@code queue}. */
  public String toText() {
    return name().toLowerCase(Locale.ROOT);
  }
}
