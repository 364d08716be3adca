package org.sedgeroad.entry;

import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.access.ConfigurationAge;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/**
 * Confirms that the configuration in force is the newest one, by short watches that the store
 * answers at once. Used on the event loop.
 *
 * <p>Instances pass confirmations on, so that one call a second serves the fleet: a hub asks first,
 * and the others only if no hub has a confirmation.
 */
final class ConfigurationProbe {
  /** Age of the youngest confirmation at which a hub asks the store, in milliseconds. */
  private static final long HUB_AGE_MILLIS = 1_000;

  /**
   * Age at which other instances ask, in milliseconds; a hub that reaches the store has confirmed
   * the configuration by then, and the answer arrives long before the age reaches its bound.
   */
  private static final long OTHER_AGE_MILLIS = 1_800;

  /**
   * Largest random addition to both ages, in milliseconds, so that instances don't ask together.
   */
  private static final long SPREAD_MILLIS = 400;

  /**
   * Time after which a call counts as lost, in milliseconds; a store that is 60 times slower than
   * usual still answers within it, and two calls fit before the age reaches its bound.
   */
  private static final long ANSWER_MILLIS = 500;

  /** Time until the next call after one that failed, in milliseconds; outages last for seconds. */
  private static final long RETRY_MILLIS = 700;

  /** Time that the store may hold a call, in milliseconds: it answers at once. */
  private static final long WAIT_MILLIS = 1;

  /** The calls of a probe to the store and to the watch of the configuration. */
  interface Source {
    /** Watches the configuration for changes after a version of the store. */
    AutoCloseable watch(long afterVersion, WatchListener listener);

    /** Closes idle connections, which may have stopped delivering data. */
    void renewConnections();

    /** Returns the version of the store that this instance has reached, 0 before the first list. */
    long reachedVersion();

    /** Receives a change that a probe has found. */
    void changed(StoredObject object);

    /** Lists the configuration again, because the store has dropped the history. */
    void relist(String reason);
  }

  private final Source source;
  private final ConfigurationAge age;
  private final BooleanSupplier isHub;
  private final DoubleSupplier random;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private volatile AutoCloseable call = () -> {};
  private long reached;
  private boolean pending;
  private long answerDeadlineNanos;
  private long notBeforeNanos;
  private double spread;

  /**
   * Creates a probe.
   *
   * @param source the store and the watch of the configuration
   * @param age receives the confirmations
   * @param isHub returns whether this instance is the first hub of its failure domain
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   * @param loop event loop
   * @param clock monotonic clock
   * @param log event log
   */
  ConfigurationProbe(
      Source source,
      ConfigurationAge age,
      BooleanSupplier isHub,
      DoubleSupplier random,
      EventLoop loop,
      MonotonicClock clock,
      EventLog log) {
    this.source = source;
    this.age = age;
    this.isHub = isHub;
    this.random = random;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.notBeforeNanos = clock.nanos();
    this.spread = random.getAsDouble();
  }

  /** Asks the store if a confirmation is due. To be called several times a second. */
  void tick() {
    long began = age.observe();
    if (pending && clock.hasPassed(answerDeadlineNanos)) {
      // The connection may have stopped delivering anything, and others with it.
      source.renewConnections();
      failed(false);
      notBeforeNanos = clock.nanos();
    }
    if (!age.isBounded() || source.reachedVersion() == 0 || !isDue()) {
      return;
    }
    pending = true;
    answerDeadlineNanos = clock.deadlineAfterMillis(ANSWER_MILLIS);
    spread = random.getAsDouble();
    reached = Math.max(reached, source.reachedVersion());
    call = source.watch(reached, new Answer(began));
  }

  private boolean isDue() {
    double limit =
        (isHub.getAsBoolean() ? HUB_AGE_MILLIS : OTHER_AGE_MILLIS) + spread * SPREAD_MILLIS;
    boolean old =
        !age.isConfirmed() || age.confirmation().ageMillis() >= limit || age.ageMillis() >= limit;
    return !pending && clock.hasPassed(notBeforeNanos) && old;
  }

  private void closeCall() {
    try {
      call.close();
    } catch (Exception failure) {
      log.log(LogEvent.STORE_UNAVAILABLE, EventField.of("reason", failure));
    }
  }

  private void confirmed(long began, long version) {
    if (pending) {
      pending = false;
      reached = Math.max(reached, version);
      age.confirm(began);
    }
  }

  private void failed(boolean expired) {
    if (!pending) {
      return;
    }
    pending = false;
    closeCall();
    notBeforeNanos = clock.deadlineAfterMillis(RETRY_MILLIS + (long) (spread * RETRY_MILLIS));
    if (expired) {
      source.relist("the store has dropped the history that a confirmation needs");
    }
  }

  /** Receives the answer to one call. */
  private final class Answer implements WatchListener {
    private final long began;

    Answer(long began) {
      this.began = began;
    }

    @Override
    public long quietMillis() {
      return WAIT_MILLIS;
    }

    @Override
    public void onChange(StoredObject object) {
      loop.execute(() -> source.changed(object));
    }

    @Override
    public void onProgress(long version) {
      // Before the watch asks again.
      closeCall();
      loop.execute(() -> confirmed(began, version));
    }

    @Override
    public void onClosed(String reason) {
      loop.execute(() -> failed(false));
    }

    @Override
    public void onExpired(String reason) {
      loop.execute(() -> failed(true));
    }
  }
}
