package org.sedgeroad.batch;

import java.util.function.Consumer;

/** Forwards only the first value that it receives. Must be used on the event loop. */
final class FirstValueConsumer<T> implements Consumer<T> {
  private final Consumer<T> next;
  private boolean used;

  FirstValueConsumer(Consumer<T> next) {
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
