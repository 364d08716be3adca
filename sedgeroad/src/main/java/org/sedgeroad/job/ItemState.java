package org.sedgeroad.job;

/** State of an item as recorded in its segment. */
public enum ItemState {
  /** Not ended; may be sent if idempotent. */
  WAITING('W'),
  /** Non-idempotent and possibly sent; another holder never sends it again. */
  STARTED('S'),
  /** Ended with a successful answer. */
  DONE('D'),
  /** Ended with an error. */
  FAILED('F'),
  /** Ended by the cancellation of its job. */
  CANCELLED('C'),
  /** Non-idempotent and ended without a known outcome; it may have run. */
  OUTCOME_UNKNOWN('U');

  private final char code;

  ItemState(char code) {
    this.code = code;
  }

  /** Returns the character that represents this state in a stored segment. */
  public char code() {
    return code;
  }

  /** Returns whether the item has ended. */
  public boolean isEnded() {
    return this != WAITING && this != STARTED;
  }

  /**
   * Returns the state that a character represents.
   *
   * @throws IllegalArgumentException if no state has that character
   */
  public static ItemState ofCode(char code) {
    for (ItemState state : values()) {
      if (state.code == code) {
        return state;
      }
    }
    throw new IllegalArgumentException("unknown item state: " + code);
  }
}
