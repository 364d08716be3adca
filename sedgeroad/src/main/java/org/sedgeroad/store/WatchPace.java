package org.sedgeroad.store;

import java.util.function.LongSupplier;

/** How often a watch may be answered. */
@FunctionalInterface
public interface WatchPace {
  /**
   * Usual pause after an answer with changes, in milliseconds: a sixteenth of the time within which
   * a change must take effect. Changes often come in series, and the next call then receives
   * several at once.
   */
  long COLLECTION_MILLIS = 150;

  /** Returns for how long a watch may stay without an answer, in milliseconds. */
  long quietMillis();

  /** Returns the pause between an answer with changes and the next call, in milliseconds. */
  default long collectionMillis() {
    return COLLECTION_MILLIS;
  }

  /**
   * Returns a pace.
   *
   * @param quietMillis returns for how long a watch may stay without an answer, in milliseconds
   * @param collectionMillis pause between an answer with changes and the next call, in milliseconds
   */
  static WatchPace of(LongSupplier quietMillis, long collectionMillis) {
    return new WatchPace() {
      @Override
      public long quietMillis() {
        return quietMillis.getAsLong();
      }

      @Override
      public long collectionMillis() {
        return collectionMillis;
      }
    };
  }
}
