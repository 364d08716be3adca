package org.sedgeroad.testing.engine;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.testing.LaggedValue;

/**
 * Simulates continuous batching: requests wait in order of arrival for one of a fixed number of
 * slots, and a scheduler produces the next token of each running stream when it is due.
 *
 * <p>All state is confined to one scheduler thread; the methods may be called on any thread.
 */
final class EngineLoop implements AutoCloseable {
  /**
   * Longest delay that a stream makes up for. A stream that is further behind skips the missed time
   * instead of sending its late tokens in a burst.
   */
  private static final long MAX_CATCH_UP_NANOS = 50_000_000L;

  private final ScheduledThreadPoolExecutor scheduler;
  private final EngineOptions options;
  private final EngineHistory history;
  private final CacheEventLog cacheEvents;
  private final LaggedValue<EngineLoad> load;
  private final Runnable onCrash;
  private final MonotonicClock clock;
  private final PrefixCache cache;
  private final Deque<Run> waiting = new ArrayDeque<>();
  private final Set<Run> running = new LinkedHashSet<>();
  private final Map<String, Run> active = new LinkedHashMap<>();
  private final Map<String, EndedRun> resumable = new LinkedHashMap<>();
  private double slowdown = 1;

  private record EndedRun(Run run, long expiryNanos) {}

  EngineLoop(
      EngineOptions options,
      EngineHistory history,
      CacheEventLog cacheEvents,
      LaggedValue<EngineLoad> load,
      Runnable onCrash,
      MonotonicClock clock) {
    this.options = options;
    this.history = history;
    this.cacheEvents = cacheEvents;
    this.load = load;
    this.onCrash = onCrash;
    this.clock = clock;
    this.cache = new PrefixCache(options.cacheTokens());
    this.scheduler =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "engine-" + options.name());
              thread.setDaemon(true);
              return thread;
            });
    scheduler.setRemoveOnCancelPolicy(true);
    scheduler.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Adds a run to the queue. */
  void submit(Run run) {
    scheduler.execute(() -> accept(run));
  }

  /** Cancels a run whose caller has disconnected; no effect on a run that has ended. */
  void cancel(Run run) {
    scheduler.execute(() -> cancelNow(run));
  }

  /**
   * Resumes a run. A run that has not ended is cancelled first.
   *
   * @param requestId request id of the run
   * @param offset index of the first token to send, from 0
   * @param output creates the output for the request of the run
   * @param refused called with an HTTP status and a reason if the run does not exist or has
   *     expired, or if it has produced fewer tokens than the offset
   * @param accepted called with the new run before it is queued
   */
  void resume(
      String requestId,
      int offset,
      Function<GenerationRequest, RunOutput> output,
      BiConsumer<Integer, String> refused,
      Consumer<Run> accepted) {
    scheduler.execute(
        () -> {
          Run current = active.get(requestId);
          if (current != null) {
            cancelNow(current);
            current.output.abort();
          }
          removeExpired();
          EndedRun ended = resumable.get(requestId);
          if (ended == null) {
            refused.accept(404, "no run of that id");
          } else if (offset > ended.run().produced) {
            refused.accept(400, "offset lies beyond the tokens made");
          } else {
            GenerationRequest request = ended.run().request;
            Run run = ended.run().resumed(output.apply(request), offset, clock.nanos());
            accepted.accept(run);
            accept(run);
          }
        });
  }

  /**
   * Sets the factor by which prefill and tokens take longer. It also applies to streams that are
   * running, from the next token that is scheduled.
   */
  void setSlowdown(double factor) {
    scheduler.execute(() -> slowdown = factor);
  }

  /** Ends all runs without answering them and clears the cache and the resumable runs. */
  void discardAll() {
    scheduler.execute(this::discardAllNow);
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }

  private void accept(Run run) {
    if (run.ended) {
      return;
    }
    active.put(run.request.requestId(), run);
    history.add(EngineEvent.Type.ACCEPT, run);
    waiting.add(run);
    fillSlots();
    publishLoad();
  }

  private void fillSlots() {
    while (running.size() < options.slots() && !waiting.isEmpty()) {
      start(waiting.remove());
    }
  }

  private void start(Run run) {
    long now = clock.nanos();
    running.add(run);
    run.queueWaitMicros = (now - run.acceptedNanos) / 1_000L;
    history.add(EngineEvent.Type.START, run);
    if (run.request.prompt().contains(GenerationRequest.CRASH_MARK)) {
      discardAllNow();
      onCrash.run();
      return;
    }
    int promptTokens = run.request.promptTokens();
    boolean resumed = run.producedBefore > 0;
    run.cachedTokens = resumed ? promptTokens : cache.cachedTokens(run.blocks);
    double prefillMicros = (promptTokens - run.cachedTokens) * options.prefillMicros() * slowdown;
    run.nextTokenDueNanos = now + (long) (prefillMicros * 1_000);
    schedule(run);
  }

  private void schedule(Run run) {
    long delay = Math.max(0, run.nextTokenDueNanos - clock.nanos());
    run.nextTokenTask = scheduler.schedule(() -> advance(run), delay, TimeUnit.NANOSECONDS);
  }

  /**
   * Produces the next token, preceded by the tokens that a resumed run repeats, and schedules the
   * one after it.
   */
  private void advance(Run run) {
    if (run.ended) {
      return;
    }
    if (run.produced == run.producedBefore) {
      finishPrefill(run);
    }
    if (run.produced < run.answerTokens) {
      run.output.token(run.produced, AnswerText.token(run.fingerprint, run.produced));
      run.produced++;
    }
    if (run.produced >= run.answerTokens) {
      finish(run);
      return;
    }
    double millis =
        options.tokenMillis() * slowdown * (1 + options.batchSlowdown() * (running.size() - 1));
    long due = run.nextTokenDueNanos + (long) (millis * 1e6);
    run.nextTokenDueNanos = Math.max(due, clock.nanos() - MAX_CATCH_UP_NANOS);
    schedule(run);
  }

  private void finishPrefill(Run run) {
    history.add(EngineEvent.Type.FIRST_TOKEN, run);
    for (int index = run.offset; index < run.producedBefore; index++) {
      run.output.token(index, AnswerText.token(run.fingerprint, index));
    }
    cacheEvents.publish("stored", run.request.requestId(), cache.add(run.blocks));
    cacheEvents.publish("evicted", "", cache.evict());
  }

  private void finish(Run run) {
    history.add(EngineEvent.Type.FINISH, run);
    run.output.finish(run.request.finishReason(), run.cachedTokens);
    end(run);
  }

  private void cancelNow(Run run) {
    if (run.ended) {
      return;
    }
    history.add(EngineEvent.Type.CANCEL, run);
    run.cancelNextToken();
    waiting.remove(run);
    end(run);
  }

  private void end(Run run) {
    run.ended = true;
    running.remove(run);
    active.remove(run.request.requestId(), run);
    removeExpired();
    // The older entry is removed first, so that the new one goes to the end, in order of expiry.
    resumable.remove(run.request.requestId());
    long expiryNanos = clock.deadlineAfterMillis(options.resumeMillis());
    resumable.put(run.request.requestId(), new EndedRun(run, expiryNanos));
    fillSlots();
    publishLoad();
  }

  private void discardAllNow() {
    List<Run> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    for (Run run : lost) {
      run.ended = true;
      run.cancelNextToken();
    }
    waiting.clear();
    running.clear();
    active.clear();
    resumable.clear();
    cache.clear();
    publishLoad();
  }

  private void removeExpired() {
    Iterator<EndedRun> oldest = resumable.values().iterator();
    while (oldest.hasNext() && clock.hasPassed(oldest.next().expiryNanos())) {
      oldest.remove();
    }
  }

  private void publishLoad() {
    load.set(new EngineLoad(running.size(), waiting.size(), cache.usedTokens(), Instant.now()));
  }
}
