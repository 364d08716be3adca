package org.sedgeroad.job;

/** State of an item as its segment records it. */
public enum ItemState {
  /** Not ended; may be sent. */
  WAITING('W'),
  /** Non-idempotent and possibly sent; never sent again. */
  STARTED('S'),
  /** Ended with an answer. */
  DONE('D'),
  /** Ended with an error after its last attempt. */
  FAILED('F'),
  /** Ended by cancelling the job. */
  CANCELLED('C'),
  /** Non-idempotent and interrupted; it may have run. */
  OUTCOME_UNKNOWN('U');

  private final char code;

  ItemState(char code) {
    this.code = code;
  }

  /** Returns the character that stands for the state in a segment. */
  public char code() {
    return code;
  }

  /** Returns whether the item has ended. */
  public boolean isEnded() {
    return this != WAITING && this != STARTED;
  }

  /**
   * Returns the state of a character.
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
