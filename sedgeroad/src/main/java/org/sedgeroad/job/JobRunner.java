package org.sedgeroad.job;

import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.StoredObject;

/**
 * Runs batch items on the endpoints that this instance owns.
 *
 * <p>One thread owns all state. Store calls run on a thread pool, and their results are passed back
 * through the inbox, as are the answers of endpoints, so that the state needs no lock.
 */
public final class JobRunner implements AutoCloseable {
  /** Maximum time between two steps while segments are held or a stop is in progress. */
  private static final long POLL_MILLIS = 20;

  /**
   * Maximum time between two steps of an idle runner. New work starts a step at once; segments that
   * other instances released or lost are found by polling.
   */
  private static final long IDLE_POLL_MILLIS = 200;

  /** Time before the deadline of a planned stop that is reserved for final commits and releases. */
  private static final long STOP_MARGIN_NANOS = 2_000_000_000L;

  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final RunnerState state;
  private final JobRunnerDependencies dependencies;
  private final BackgroundCalls calls;
  private final ItemSender sender;
  private final SegmentCommitter committer;
  private final SegmentClaimer claimer;
  private final Thread thread = new Thread(this::run, "job-runner");
  private volatile boolean stopping;
  private long lastExpiryCount;
  private volatile long stopAtNanos;

  /** Creates a runner that does nothing until {@link #start} is called. */
  public JobRunner(JobRunnerDependencies dependencies) {
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

  /** Makes the runner look for work at once. Thread-safe. */
  public void wake() {
    inbox.add(claimer::wake);
  }

  /** Stops as {@link #stop} does, with the time limit of one item as deadline. */
  @Override
  public void close() {
    stop(dependencies.clock().deadlineAfterMillis(dependencies.itemTimeoutMillis()));
  }

  /**
   * Stops claiming and sending, waits for items in flight, commits their results and releases all
   * segments. Shortly before the deadline, items still in flight are cancelled: idempotent ones
   * wait again, the outcome of others is unknown. Returns at the deadline at the latest, or earlier
   * if the thread is interrupted.
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

  /** Returns whether a stop has ended: no segment is held or being claimed, or time is up. */
  boolean isStopped() {
    return stopping
        && ((state.heldSegments().isEmpty() && claimer.pendingClaims() == 0)
            || dependencies.clock().hasPassed(stopAtNanos));
  }

  /** Handles all messages in the inbox, then sends items and starts store operations. */
  void step() {
    Runnable next = inbox.poll();
    while (next != null) {
      runAndLogFailure(next);
      next = inbox.poll();
    }
    runAndLogFailure(this::schedule);
  }

  /** Returns the number of unfinished jobs in memory. */
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
    long expiryCount = dependencies.leases().expiryCount();
    if (!dependencies.leases().isHeld(now) || expiryCount != lastExpiryCount) {
      // While the lease was not valid, others may have taken over segments or cancelled their jobs.
      lastExpiryCount = expiryCount;
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
    sender.schedule(expiryCount);
    committer.schedule(sender::hasFreeSlot);
    if (!stopping) {
      claimer.schedule();
    }
  }

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

  /** Returns a segment if it is held. For tests. */
  Optional<HeldSegment> findHeldSegment(SegmentKey key) {
    return state.heldSegments().stream().filter(segment -> segment.key().equals(key)).findAny();
  }
}
