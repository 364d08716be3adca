package org.sedgeroad.batch;

import java.util.function.Consumer;

/** Passes on the first value only. Used on the event loop. */
final class OneTime<T> implements Consumer<T> {
  private final Consumer<T> next;
  private boolean used;

  OneTime(Consumer<T> next) {
    this.next = next;
  }

  @Override
  public void accept(T value) {
    if (!used) {
      used = true;
      next.accept(value);
    }
  }
}
