package org.sedgeroad.entry;

import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.access.ConfigurationAge;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.ObjectStore;
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

  /** Time until the next call after one that failed, in milliseconds; outages last for seconds. */
  private static final long RETRY_MILLIS = 700;

  /** Time that the store may hold a call, in milliseconds: it answers at once. */
  private static final long WAIT_MILLIS = 1;

  private final ObjectStore store;
  private final String kind;
  private final KindWatcher watcher;
  private final KindWatcher.Listener listener;
  private final ConfigurationAge age;
  private final BooleanSupplier isHub;
  private final DoubleSupplier random;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private AutoCloseable call = () -> {};
  private long reached;
  private boolean pending;
  private long notBeforeNanos;
  private double spread;

  /**
   * Creates a probe.
   *
   * @param store the store
   * @param kind kind of the configuration objects
   * @param watcher watch of that kind, from whose version the probe asks for changes
   * @param listener receives the changes that a probe finds
   * @param age receives the confirmations
   * @param isHub returns whether this instance is the first hub of its failure domain
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   * @param loop event loop
   * @param clock monotonic clock
   * @param log event log
   */
  ConfigurationProbe(
      ObjectStore store,
      String kind,
      KindWatcher watcher,
      KindWatcher.Listener listener,
      ConfigurationAge age,
      BooleanSupplier isHub,
      DoubleSupplier random,
      EventLoop loop,
      MonotonicClock clock,
      EventLog log) {
    this.store = store;
    this.kind = kind;
    this.watcher = watcher;
    this.listener = listener;
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
    if (!age.isBounded() || watcher.version() == 0 || !isDue()) {
      return;
    }
    pending = true;
    spread = random.getAsDouble();
    reached = Math.max(reached, watcher.version());
    call = store.watch(kind, reached, new Answer(began));
  }

  private boolean isDue() {
    double limit =
        (isHub.getAsBoolean() ? HUB_AGE_MILLIS : OTHER_AGE_MILLIS) + spread * SPREAD_MILLIS;
    boolean old =
        !age.isConfirmed() || age.confirmation().ageMillis() >= limit || age.ageMillis() >= limit;
    return !pending && clock.hasPassed(notBeforeNanos) && old;
  }

  private void finish() {
    pending = false;
    try {
      call.close();
    } catch (Exception failure) {
      log.log(LogEvent.STORE_UNAVAILABLE, EventField.of("reason", failure));
    }
  }

  private void failed(boolean expired) {
    if (!pending) {
      return;
    }
    finish();
    notBeforeNanos = clock.deadlineAfterMillis(RETRY_MILLIS + (long) (spread * RETRY_MILLIS));
    if (expired) {
      watcher.restart("the store has dropped the history that a confirmation needs");
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
      loop.execute(() -> listener.changed(object));
    }

    @Override
    public void onProgress(long version) {
      loop.execute(
          () -> {
            if (pending) {
              reached = Math.max(reached, version);
              finish();
              age.confirm(began);
            }
          });
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
