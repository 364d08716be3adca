package org.sedgeroad.batch;

/** An unfinished item of a job that this instance runs. Used on the event loop. */
final class OwnedItem {
  /** Pause after a broken run, doubled with each further one, in milliseconds. */
  private static final long FIRST_PAUSE_MILLIS = 50;

  /** Longest pause between two runs, in milliseconds; a fifth of the time until results are due. */
  private static final long LONGEST_PAUSE_MILLIS = 4_000;

  private final OwnedJob job;
  private final ItemSpec spec;
  private final ItemProgress progress = new ItemProgress();
  private ItemRun run;
  private int failures;
  private int fruitlessBreaks;
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

  boolean isDone() {
    return done;
  }

  void setDone() {
    done = true;
  }

  boolean isReady(long nowNanos) {
    return !done && run == null && nowNanos - notBeforeNanos >= 0;
  }

  /** Notes a run that the endpoint answered with a failure; returns the number of these. */
  int addFailure(long nowNanos) {
    failures++;
    pause(failures, nowNanos);
    return failures;
  }

  /**
   * Notes a run that broke. An item whose runs break before their first event may be what crashes
   * the endpoints, so that it is held back longer each time.
   */
  void addBreak(boolean fruitless, long nowNanos) {
    fruitlessBreaks = fruitless ? fruitlessBreaks + 1 : 0;
    pause(fruitlessBreaks, nowNanos);
  }

  void pause(int number, long nowNanos) {
    long millis =
        Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(Math.max(0, number), 10));
    notBeforeNanos = nowNanos + millis * 1_000_000L;
  }
}
