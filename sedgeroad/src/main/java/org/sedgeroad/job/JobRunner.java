package org.sedgeroad.job;

import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.StoredObject;

/**
 * Runs batch items on the endpoints whose home is this instance.
 *
 * <p>One thread owns all state. Store calls run on the worker pool and hand their outcome back
 * through the inbox, as do answers of endpoints, so that the state needs no lock.
 */
public final class JobRunner implements AutoCloseable {
  private static final long POLL_MILLIS = 20;

  /** New work wakes an idle runner; the tick finds what other instances left behind. */
  private static final long IDLE_POLL_MILLIS = 200;

  /** Part of a planned stop that is kept for the last commits and releases. */
  private static final long STOP_MARGIN_NANOS = 2_000_000_000L;

  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final RunnerState state;
  private final JobRunnerParts dependencies;
  private final BackgroundCalls calls;
  private final ItemSender sender;
  private final SegmentCommitter committer;
  private final SegmentClaimer claimer;
  private final Thread thread = new Thread(this::run, "job-runner");
  private volatile boolean stopping;
  private long lastLapses;
  private volatile long stopAtNanos;

  /** Creates a runner; {@link #start} starts it. */
  public JobRunner(JobRunnerParts dependencies) {
    this.dependencies = dependencies;
    this.state = new RunnerState(dependencies);
    SegmentStore segments =
        new SegmentStore(
            dependencies.writer(),
            other -> dependencies.leases().isExpired(other, dependencies.clock().nanos()));
    this.calls = new BackgroundCalls(dependencies.blockingCallExecutor(), inbox::add);
    this.sender = new ItemSender(state, calls, inbox::add);
    this.committer = new SegmentCommitter(state, segments, calls);
    this.claimer = new SegmentClaimer(state, segments, sender, calls);
    dependencies.replica().addListener(this::enqueueJobChange);
    dependencies.replica().entries(Kinds.JOBS).forEach(this::enqueueJobChange);
  }

  /** Starts the runner's thread. */
  public void start() {
    thread.start();
  }

  /** Tells the runner that something changed that may need a decision at once. */
  public void wake() {
    inbox.add(claimer::wake);
  }

  /** Stops within the longest run of one item, see {@link #stop}. */
  @Override
  public void close() {
    stop(dependencies.clock().deadlineAfterMillis(dependencies.itemTimeoutMillis()));
  }

  /**
   * Stops claiming and sending, waits for what runs, commits and releases the segments. Shortly
   * before the deadline, items still in flight are cancelled: idempotent ones go back to waiting,
   * the outcome of others is unknown.
   *
   * @param deadlineNanos monotonic deadline in nanoseconds
   */
  public void stop(long deadlineNanos) {
    beginStop(deadlineNanos);
    try {
      long millis = (deadlineNanos - dependencies.clock().nanos()) / 1_000_000L;
      thread.join(Math.max(1, millis));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  void beginStop(long deadlineNanos) {
    stopAtNanos = deadlineNanos;
    stopping = true;
    wake();
  }

  // -----------------------------------------------------------------------

  private void run() {
    while (!isStopped()) {
      try {
        boolean idle = state.heldSegments().isEmpty() && !stopping;
        Runnable next = inbox.poll(idle ? IDLE_POLL_MILLIS : POLL_MILLIS, TimeUnit.MILLISECONDS);
        if (next != null) {
          runAndLogFailure(next);
        }
        step();
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  /** Returns whether a stop has ended: nothing is held or still claimed, or its time is over. */
  boolean isStopped() {
    return stopping
        && ((state.heldSegments().isEmpty() && claimer.pendingClaims() == 0)
            || dependencies.clock().hasPassed(stopAtNanos));
  }

  /** Handles all messages and takes all decisions that are due. */
  void step() {
    Runnable next = inbox.poll();
    while (next != null) {
      runAndLogFailure(next);
      next = inbox.poll();
    }
    runAndLogFailure(this::schedule);
  }

  /** Returns the number of unfinished jobs that the runner knows. */
  int unfinishedJobs() {
    return state.planner().size();
  }

  private void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      dependencies.log().log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
    }
  }

  private void schedule() {
    long now = state.now();
    long lapses = dependencies.leases().lapses();
    if (!dependencies.leases().isHeld(now) || lapses != lastLapses) {
      // Others may have taken the segments over while the lease was over, or cancelled their jobs.
      lastLapses = lapses;
      state
          .heldSegments()
          .forEach(
              segment -> {
                state.drop(segment);
                state.planner().retryAt(segment.key(), now);
              });
      return;
    }
    if (stopping) {
      state.markStopping();
      if (now - (stopAtNanos - STOP_MARGIN_NANOS) >= 0) {
        sender.cancelAll();
      }
    }
    sender.schedule(lapses);
    committer.schedule(sender::hasFreeSlot);
    if (!stopping) {
      claimer.schedule();
    }
  }

  // -----------------------------------------------------------------------

  private void enqueueJobChange(StoredObject object) {
    if (object.kind().equals(Kinds.JOBS)) {
      inbox.add(() -> applyJobChange(object));
    }
  }

  private void applyJobChange(StoredObject object) {
    if (object.isDeleted()) {
      state.planner().remove(object.name());
      return;
    }
    Job job = Job.fromSpec(object.name(), object.spec());
    state.planner().update(job, state.now());
    claimer.wake();
    if (job.state() == JobState.CANCELLED) {
      state.heldSegments().stream()
          .filter(segment -> segment.job().id().equals(job.id()) && !segment.isCancelled())
          .forEach(HeldSegment::cancel);
    }
  }

  /** Returns a held segment, empty if it is not held. For tests. */
  Optional<HeldSegment> findHeldSegment(SegmentKey key) {
    return state.heldSegments().stream().filter(segment -> segment.key().equals(key)).findAny();
  }
}
