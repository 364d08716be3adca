package org.sedgeroad.batch;

import org.sedgeroad.peer.RendezvousHashing;

/** Item of a job that this instance owns. Must be used on the event loop. */
final class OwnedItem {
  /** Retry delay before any doubling, in milliseconds. */
  private static final long INITIAL_BACKOFF_MILLIS = 50;

  /**
   * Maximum delay between two runs, in milliseconds. It is a fifth of the time within which results
   * are due.
   */
  private static final long MAXIMUM_BACKOFF_MILLIS = 4_000;

  private final OwnedJob job;
  private final ItemSpec spec;
  private final ItemProgress progress = new ItemProgress();
  private ItemRun run;
  private int endedRuns;
  private int failures;
  private long notBeforeNanos;
  private boolean done;

  OwnedItem(OwnedJob job, ItemSpec spec, long nowNanos) {
    this.job = job;
    this.spec = spec;
    this.notBeforeNanos = nowNanos;
  }

  OwnedJob job() {
    return job;
  }

  ItemSpec spec() {
    return spec;
  }

  ItemProgress progress() {
    return progress;
  }

  ItemRun run() {
    return run;
  }

  void setRun(ItemRun next) {
    run = next;
  }

  /**
   * Returns the number from 0 (inclusive) to 1 (exclusive) that selects the service of the next
   * run. It changes with each run that ended here, so that an item whose runs fail at one service
   * is not bound to it.
   */
  double serviceChoice() {
    return RendezvousHashing.fraction(spec.id(), Integer.toString(endedRuns));
  }

  /** Records that a run has ended at its endpoint, as opposed to one that was withdrawn. */
  void addEndedRun() {
    endedRuns++;
  }

  boolean isDone() {
    return done;
  }

  void setDone() {
    done = true;
  }

  /** Returns whether the item is neither done nor running. */
  boolean isWaiting() {
    return !done && run == null;
  }

  boolean isReady(long nowNanos) {
    return isWaiting() && nowNanos - notBeforeNanos >= 0;
  }

  /** Records a run that the endpoint answered with a failure; returns the number of such runs. */
  int addFailedRun(long nowNanos) {
    failures++;
    backOff(failures, nowNanos);
    return failures;
  }

  /** Delays the next run by the initial delay, doubled the given number of times and bounded. */
  void backOff(int doublings, long nowNanos) {
    long millis =
        Math.min(
            MAXIMUM_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(Math.max(0, doublings), 10));
    notBeforeNanos = nowNanos + millis * 1_000_000L;
  }
}
