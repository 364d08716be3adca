package org.sedgeroad.exchange;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;

/**
 * Tells the other instances about changes of a {@link ChangeTable}. Used on the event loop.
 *
 * <p>A change is sent several times, because messages may be lost. Nothing is sent while nothing
 * changes.
 *
 * @param <V> type of the values in the table
 */
public final class ChangeExchange<V> {
  /** Delay before a change is sent, in milliseconds. */
  private static final long COLLECTION_MILLIS = 5;

  /** Time between two messages while values change, in milliseconds. */
  private static final long INTERVAL_MILLIS = 50;

  /** Time between two messages with the same content, in milliseconds. */
  private static final long REPEAT_MILLIS = 400;

  /** Time for which a change is sent, in milliseconds. */
  private static final long SPREAD_MILLIS = 1_500;

  private final ChangeTable<V> table;
  private final Consumer<Map<String, V>> sender;
  private final int valuesInMessage;
  private final BooleanSupplier passesOn;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private boolean scheduled;
  private long scheduledNanos;
  private long lastSentNanos;

  /**
   * Creates an exchange.
   *
   * @param table the table, not null
   * @param sender sends values to other instances, not null
   * @param valuesInMessage maximum number of values in a message, positive
   * @param passesOn returns whether this instance passes on what it receives, not null
   * @param loop event loop, not null
   * @param clock monotonic clock of the loop, not null
   */
  public ChangeExchange(
      ChangeTable<V> table,
      Consumer<Map<String, V>> sender,
      int valuesInMessage,
      BooleanSupplier passesOn,
      EventLoop loop,
      MonotonicClock clock) {
    this.table = table;
    this.sender = sender;
    this.valuesInMessage = valuesInMessage;
    this.passesOn = passesOn;
    this.loop = loop;
    this.clock = clock;
    this.lastSentNanos = clock.nanos() - INTERVAL_MILLIS * 1_000_000L;
  }

  /**
   * Receives values of another instance. An instance that passes values on also answers with newer
   * ones, so that an instance that missed them learns of them with its next change.
   */
  public void receive(Map<String, V> received) {
    boolean news = !table.merge(received).isEmpty();
    boolean newer = table.refresh(received);
    if ((news || newer) && passesOn.getAsBoolean()) {
      changed();
    }
  }

  /** Sends the newest changes soon. To be called after each change of the table. */
  public void changed() {
    long paced = lastSentNanos + INTERVAL_MILLIS * 1_000_000L;
    long soon = clock.deadlineAfterMillis(COLLECTION_MILLIS);
    schedule(paced - soon > 0 ? paced : soon);
  }

  private void schedule(long deadlineNanos) {
    if (scheduled && scheduledNanos - deadlineNanos <= 0) {
      return;
    }
    scheduled = true;
    scheduledNanos = deadlineNanos;
    loop.scheduleAt(deadlineNanos, this::send);
  }

  private void send() {
    if (!scheduled || clock.nanos() - scheduledNanos < 0) {
      // Another timer took over.
      return;
    }
    scheduled = false;
    Map<String, V> recent = table.recent(SPREAD_MILLIS, valuesInMessage);
    if (!recent.isEmpty()) {
      lastSentNanos = clock.nanos();
      sender.accept(recent);
      schedule(clock.deadlineAfterMillis(REPEAT_MILLIS));
    }
  }
}
