package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.configuration.Model;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.peer.MembershipView;
import org.sedgeroad.peer.Rendezvous;
import org.sedgeroad.route.BatchPolicy;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;
import org.sedgeroad.route.RequestShape;
import org.sedgeroad.store.StoredObject;

/**
 * Runs batch items on the endpoints whose home is this instance.
 *
 * <p>One thread owns all state. Store calls run on the worker pool and hand their outcome back
 * through the inbox, as do answers of endpoints, so that the state needs no lock.
 */
public final class JobRunner implements AutoCloseable {
  private static final long TICK_MILLIS = 20;
  private static final int COMMIT_ITEMS = 32;
  private static final long COMMIT_NANOS = 2_000_000_000L;
  private static final long RETRY_NANOS = 500_000_000L;
  private static final int ATTEMPTS = 3;
  private static final int MARK_ITEMS = 16;
  private static final int DEFAULT_OUTPUT_TOKENS = 64;

  private final ObjectMapper mapper = new ObjectMapper();
  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final Map<SegmentKey, HeldSegment> held = new LinkedHashMap<>();
  private final Map<SegmentKey, Long> claimAfter = new HashMap<>();
  private final Set<SegmentKey> ended = new HashSet<>();
  private final Map<String, List<RunningItem>> running = new HashMap<>();
  private final String instance;
  private final String holder;
  private final SegmentStore segments;
  private final ConfigurationReplica replica;
  private final EndpointTable endpoints;
  private final EngineClient engine;
  private final BatchPolicy policy;
  private final MembershipView membership;
  private final LeaseTable leases;
  private final MonotonicClock clock;
  private final ExecutorService workers;
  private final EventLog log;
  private final CommitListener commits;
  private final long itemTimeoutMillis;
  private final Thread thread = new Thread(this::run, "job-runner");
  private volatile boolean stopping;
  private boolean claiming;

  /** Creates a runner; {@link #start} starts it. */
  public JobRunner(JobRunnerParts parts) {
    this.instance = parts.instance();
    this.holder = parts.writer().name();
    this.leases = parts.leases();
    this.clock = parts.clock();
    this.segments =
        new SegmentStore(parts.writer(), holder, other -> leases.isExpired(other, clock.nanos()));
    this.replica = parts.replica();
    this.endpoints = parts.endpoints();
    this.engine = parts.engine();
    this.policy = parts.policy();
    this.membership = parts.membership();
    this.workers = parts.workers();
    this.log = parts.log();
    this.commits = parts.commits();
    this.itemTimeoutMillis = parts.itemTimeoutMillis();
  }

  /** Starts the runner's thread. */
  public void start() {
    thread.start();
  }

  /** Tells the runner that something changed that may need a decision at once. */
  public void wake() {
    inbox.add(() -> {});
  }

  /** Stops claiming, finishes or cancels what runs, commits and releases the segments. */
  @Override
  public void close() {
    stopping = true;
    wake();
    try {
      thread.join(itemTimeoutMillis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  // -----------------------------------------------------------------------

  private void run() {
    while (!stopping || !held.isEmpty() || claiming) {
      try {
        Runnable next = inbox.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
        while (next != null) {
          next.run();
          next = inbox.poll();
        }
        schedule(clock.nanos());
      } catch (InterruptedException interrupted) {
        return;
      } catch (RuntimeException failure) {
        log.log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
      }
    }
  }

  private void schedule(long now) {
    if (!leases.isHeld(now)) {
      List.copyOf(held.values()).forEach(this::drop);
      return;
    }
    held.values().forEach(this::noticeCancel);
    for (EndpointView view : endpoints.usableEndpoints()) {
      if (isHome(view)) {
        fill(view, now);
      }
    }
    for (HeldSegment segment : List.copyOf(held.values())) {
      store(segment, now);
    }
    if (!stopping) {
      claimNext(now);
    }
  }

  private boolean isHome(EndpointView view) {
    return Rendezvous.isFirst(view.endpoint().name(), instance, membership.liveInstances());
  }

  // ----------------------------------------------------------------------- sending

  private void fill(EndpointView view, long now) {
    String name = view.endpoint().name();
    List<RunningItem> active = running.computeIfAbsent(name, key -> new ArrayList<>());
    int allowed = stopping ? active.size() : policy.allowedItems(view, now);
    preempt(active, allowed);
    int batch = active.size();
    while (batch < allowed) {
      Optional<HeldSegment> source = nextSource(view.endpoint().service());
      if (source.isEmpty()) {
        return;
      }
      send(source.get(), source.get().waiting().poll(), view, active);
      batch++;
    }
  }

  /** Cancels the youngest items beyond the allowance; non-idempotent ones run to their end. */
  private void preempt(List<RunningItem> active, int allowed) {
    int excess = active.size() - allowed;
    for (int index = active.size() - 1; index >= 0 && excess > 0; index--) {
      RunningItem item = active.get(index);
      if (item.item().idempotent()) {
        if (!item.isPreempted()) {
          item.cancel();
        }
        excess--;
      }
    }
  }

  /** Returns the segment with the earliest deadline that has an item that may be sent. */
  private Optional<HeldSegment> nextSource(String service) {
    return held.values().stream()
        .filter(segment -> !segment.isCancelled() && isSendable(segment, service))
        .min(Comparator.comparing(segment -> segment.job().deadline()));
  }

  private boolean isSendable(HeldSegment segment, String service) {
    BatchItem next = segment.waiting().peek();
    while (next != null && !next.idempotent() && !isMarked(segment, next)) {
      if (segment.waiting().stream()
          .noneMatch(item -> item.idempotent() || isMarked(segment, item))) {
        return false;
      }
      segment.waiting().add(segment.waiting().poll());
      next = segment.waiting().peek();
    }
    return next != null && serviceOf(next).filter(service::equals).isPresent();
  }

  private static boolean isMarked(HeldSegment segment, BatchItem item) {
    return segment.segment().state(item.index()) == ItemState.STARTED;
  }

  private Optional<String> serviceOf(BatchItem item) {
    return Model.find(replica, item.model()).map(Model::service);
  }

  private void send(
      HeldSegment segment, BatchItem item, EndpointView view, List<RunningItem> active) {
    RequestShape shape = shape(segment.job(), item, view.endpoint().service());
    Placement placement = endpoints.begin(view.endpoint(), shape);
    RunningItem run = new RunningItem(segment, item, placement);
    String requestId = segment.key().toName() + "." + item.index() + "-" + UUID.randomUUID();
    EngineCall call =
        new EngineCall(
            "POST",
            view.endpoint().address().resolve(item.path()),
            Map.of(),
            body(item),
            requestId,
            ServiceClass.BATCH,
            item.idempotent(),
            clock.deadlineAfterMillis(itemTimeoutMillis));
    segment.running().add(run);
    active.add(run);
    run.started(
        engine.start(
            call,
            new ItemAnswer(
                (status, answer) -> inbox.add(() -> answered(run, requestId, status, answer)),
                failure -> inbox.add(() -> failed(run, failure)))));
  }

  private static RequestShape shape(Job job, BatchItem item, String service) {
    int prompt = item.body().toString().length() / 4;
    int output = item.body().path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS);
    return new RequestShape(
        service,
        job.member(),
        ServiceClass.BATCH,
        prompt,
        output,
        0,
        "",
        item.idempotent(),
        Set.of());
  }

  private byte[] body(BatchItem item) {
    ObjectNode body = item.body().deepCopy();
    body.put("stream", false);
    return body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  // ----------------------------------------------------------------------- answers

  private void answered(RunningItem run, String requestId, int status, byte[] answer) {
    finish(run);
    if (status == 429 || status >= 500) {
      retry(run, "endpoint answered " + status);
      return;
    }
    JsonNode body;
    try {
      body = mapper.readTree(answer);
    } catch (IOException failure) {
      retry(run, "the answer is not JSON");
      return;
    }
    BatchItem item = run.item();
    boolean done = status < 400;
    addResult(
        run.held(),
        new ItemResult(
            item.index(),
            item.customId(),
            done ? ItemState.DONE : ItemState.FAILED,
            requestId,
            status,
            body,
            done ? null : "the endpoint refused the item with status " + status));
  }

  private void failed(RunningItem run, EngineFailure failure) {
    finish(run);
    if (failure instanceof EngineFailure.NotRun notRun) {
      if (notRun.draining()) {
        endpoints.markDraining(run.placement().endpoint());
      } else {
        endpoints.markFailed(run.placement().endpoint());
      }
      run.held().waiting().addFirst(run.item());
    } else if (run.isPreempted() && run.item().idempotent()) {
      run.held().waiting().addFirst(run.item());
    } else {
      endpoints.markFailed(run.placement().endpoint());
      retry(run, failure.reason());
    }
  }

  private void finish(RunningItem run) {
    endpoints.end(run.placement());
    run.held().running().remove(run);
    running.get(run.placement().endpoint()).remove(run);
  }

  private void retry(RunningItem run, String reason) {
    BatchItem item = run.item();
    if (!item.idempotent()) {
      addResult(run.held(), ItemResult.ofError(item, ItemState.OUTCOME_UNKNOWN, reason));
    } else if (run.held().countAttempt(item) < ATTEMPTS) {
      run.held().waiting().add(item);
    } else {
      log.log(
          LogEvent.ITEM_FAILED,
          EventField.of("job", run.held().job().id()),
          EventField.of("item", item.customId()),
          EventField.of("reason", reason));
      addResult(
          run.held(),
          ItemResult.ofError(
              item, ItemState.FAILED, "failed " + ATTEMPTS + " times, last: " + reason));
    }
  }

  private void addResult(HeldSegment segment, ItemResult result) {
    if (!segment.isCancelled()) {
      segment.addPending(result, clock.nanos());
    }
  }

  // ----------------------------------------------------------------------- store

  private void store(HeldSegment segment, long now) {
    if (!segment.mayTry(now)) {
      return;
    }
    if (segment.isCancelled()) {
      if (segment.running().isEmpty()) {
        commit(segment, () -> segments.cancelRest(segment.segment(), segment.version()), 0);
      }
      return;
    }
    List<BatchItem> unmarked =
        segment.waiting().stream()
            .filter(item -> !item.idempotent() && !isMarked(segment, item))
            .limit(MARK_ITEMS)
            .toList();
    if (stopping && !segment.waiting().isEmpty() && segment.running().isEmpty()) {
      releaseOrCommit(segment);
    } else if (segment.pending().size() >= COMMIT_ITEMS
        || segment.isOlderThan(COMMIT_NANOS, now)
        || (segment.isDrained() && !segment.pending().isEmpty())) {
      commitPending(segment);
    } else if (!unmarked.isEmpty() && !stopping && segment.running().isEmpty()) {
      commit(
          segment, () -> segments.markStarted(segment.segment(), segment.version(), unmarked), 0);
    }
  }

  private void releaseOrCommit(HeldSegment segment) {
    if (!segment.pending().isEmpty()) {
      commitPending(segment);
      return;
    }
    segment.begin();
    inPool(() -> segments.release(segment.segment(), segment.version()), result -> remove(segment));
  }

  private void commitPending(HeldSegment segment) {
    List<ItemResult> batch = List.copyOf(segment.pending());
    commit(
        segment, () -> segments.commit(segment.segment(), segment.version(), batch), batch.size());
  }

  private void commit(HeldSegment segment, Supplier<CommitResult> operation, int results) {
    segment.begin();
    inPool(operation, result -> committed(segment, result, results));
  }

  private void committed(HeldSegment segment, CommitResult result, int results) {
    if (result instanceof CommitResult.Committed committed) {
      segment.end(clock.nanos());
      segment.replaced(committed.segment(), committed.version());
      List<ItemResult> written =
          segment.pending().subList(0, Math.min(results, segment.pending().size()));
      commits.committed(segment.job(), List.copyOf(written));
      written.clear();
      if (committed.segment().isFinished()) {
        segment.begin();
        inPool(
            () -> segments.countFinished(committed.segment()),
            counted -> counted(segment, counted));
      }
    } else if (result instanceof CommitResult.SegmentLost) {
      log.log(LogEvent.SEGMENT_LOST, EventField.of("segment", segment.key().toName()));
      drop(segment);
    } else if (result instanceof CommitResult.JobCancelled) {
      segment.end(clock.nanos());
      cancel(segment);
    } else {
      segment.end(clock.nanos() + RETRY_NANOS);
    }
  }

  private void counted(HeldSegment segment, boolean counted) {
    if (counted) {
      ended.add(segment.key());
    }
    // An uncounted segment is found finished, and counted, by the next claim of it.
    remove(segment);
  }

  // ----------------------------------------------------------------------- claims

  private void claimNext(long now) {
    if (claiming || freeItems(now) <= waitingItems()) {
      return;
    }
    Optional<SegmentKey> next = nextClaim(now);
    if (next.isEmpty()) {
      return;
    }
    claiming = true;
    SegmentKey key = next.get();
    inPool(() -> segments.claim(key), result -> claimed(key, result));
  }

  private int freeItems(long now) {
    int free = 0;
    for (EndpointView view : endpoints.usableEndpoints()) {
      if (isHome(view)) {
        int active = running.getOrDefault(view.endpoint().name(), List.of()).size();
        free += Math.max(0, policy.allowedItems(view, now) - active);
      }
    }
    return free;
  }

  private int waitingItems() {
    return held.values().stream().mapToInt(segment -> segment.waiting().size()).sum();
  }

  /** Returns the segment to claim next: earliest deadline first, own ones by hash before others. */
  private Optional<SegmentKey> nextClaim(long now) {
    List<Job> jobs =
        replica.list(Kinds.JOBS).stream()
            .map(object -> Job.fromSpec(object.name(), object.spec()))
            .filter(job -> job.state() == JobState.ACCEPTED)
            .sorted(Comparator.comparing(Job::deadline))
            .toList();
    List<String> live = membership.liveInstances();
    for (Job job : jobs) {
      SegmentKey second = null;
      for (int index = 0; index < job.segmentCount(); index++) {
        SegmentKey key = new SegmentKey(job.id(), index);
        if (isClaimable(job, key, now)) {
          if (Rendezvous.isFirst(key.toName(), instance, live)) {
            return Optional.of(key);
          }
          second = second == null ? key : second;
        }
      }
      if (second != null) {
        return Optional.of(second);
      }
    }
    return Optional.empty();
  }

  private boolean isClaimable(Job job, SegmentKey key, long now) {
    Long after = claimAfter.get(key);
    return !job.isFinished(key.index())
        && !held.containsKey(key)
        && !ended.contains(key)
        && (after == null || now - after >= 0);
  }

  private void claimed(SegmentKey key, ClaimResult result) {
    claiming = false;
    long now = clock.nanos();
    if (result instanceof ClaimResult.Claimed claimed) {
      HeldSegment segment =
          new HeldSegment(
              claimed.job(), claimed.segment(), claimed.version(), claimed.items(), now);
      held.put(key, segment);
      claimAfter.remove(key);
      log.log(
          claimed.takenOver() ? LogEvent.SEGMENT_TAKEN_OVER : LogEvent.SEGMENT_CLAIMED,
          EventField.of("segment", key.toName()));
      wake();
    } else if (result instanceof ClaimResult.Ended) {
      ended.add(key);
    } else {
      claimAfter.put(key, now + RETRY_NANOS);
    }
  }

  // ----------------------------------------------------------------------- ends

  private void noticeCancel(HeldSegment segment) {
    Optional<StoredObject> job = replica.find(Kinds.JOBS, segment.job().id());
    boolean cancelled =
        job.map(object -> object.spec().path("state").asText())
            .filter(JobState.CANCELLED.name()::equals)
            .isPresent();
    if (cancelled && !segment.isCancelled()) {
      cancel(segment);
    }
  }

  private void cancel(HeldSegment segment) {
    segment.markCancelled();
    List.copyOf(segment.running()).forEach(RunningItem::cancel);
  }

  private void drop(HeldSegment segment) {
    cancel(segment);
    remove(segment);
  }

  private void remove(HeldSegment segment) {
    held.remove(segment.key(), segment);
  }

  private <T> void inPool(Supplier<T> operation, Consumer<T> done) {
    workers.execute(
        () -> {
          T result = operation.get();
          inbox.add(() -> done.accept(result));
        });
  }
}
