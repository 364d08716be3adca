package org.sedgeroad.burn;

import java.util.Locale;

/** Reason why a request or item counts as bad, which spends part of an error budget. */
public enum Cause {
  /** Lack of capacity: all workers were busy, or an item ended after its job's deadline. */
  QUEUE,
  /** An endpoint failed or was slow. */
  ENDPOINT,
  /** The request was refused although no voted limit was used up. */
  REFUSAL,
  /** The request was refused because a voted limit was used up. */
  LIMIT;

  /** Returns the form used in reports, for example {@code queue}. */
  public String toText() {
    return name().toLowerCase(Locale.ROOT);
  }
}
