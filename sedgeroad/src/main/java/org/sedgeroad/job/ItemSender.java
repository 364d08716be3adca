package org.sedgeroad.job;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.configuration.Model;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.route.CrashVerdict;
import org.sedgeroad.route.CrashingRequestDetector;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;
import org.sedgeroad.route.RequestShape;

/** Sends items to endpoints and handles their answers. Used by the runner's thread only. */
final class ItemSender {
  private static final int DEFAULT_OUTPUT_TOKENS = 64;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Delay before an item that is suspected of crashing endpoints is tried again. */
  private static final long SUSPECT_RETRY_NANOS = 300_000_000L;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<String, List<RunningItem>> runningByEndpoint = new HashMap<>();
  private final RunnerState state;
  private final JobRunnerDependencies dependencies;
  private final BackgroundCalls calls;
  private final Consumer<Runnable> inbox;
  private final Map<String, String> serviceByModel = new HashMap<>();
  private final Set<String> servicesWithFreeSlots = new HashSet<>();
  private final RefusingEndpoints refusing;
  private final MissingModels missingModels;
  private long checkedExpiryCount;

  ItemSender(RunnerState state, BackgroundCalls calls, Consumer<Runnable> inbox) {
    this.state = state;
    this.dependencies = state.dependencies();
    this.calls = calls;
    this.inbox = inbox;
    this.refusing = new RefusingEndpoints(state, calls);
    this.missingModels = new MissingModels(state, calls);
  }

  /**
   * Sends items to the owned endpoints, up to the number that the batch policy allows now, and
   * preempts items beyond that number.
   *
   * @param expiryCount value of {@link org.sedgeroad.lease.LeaseTable#expiryCount} when the
   *     segments were last known to be held; no more items are sent once the value has changed
   */
  void schedule(long expiryCount) {
    checkedExpiryCount = expiryCount;
    serviceByModel.clear();
    servicesWithFreeSlots.clear();
    List<HeldSegment> segments =
        state.heldSegments().stream()
            .filter(segment -> !segment.isCancelled())
            .sorted(
                Comparator.comparing((HeldSegment segment) -> segment.job().deadline())
                    .thenComparing(segment -> !segment.isTakenOver()))
            .toList();
    missingModels.failItems(segments);
    refusing.probeDue();
    List<EndpointView> owned = reachableEndpoints();
    for (EndpointView view : owned) {
      sendItems(view, segments);
    }
    Set<String> names =
        owned.stream()
            .map(view -> view.endpoint().name())
            .collect(java.util.stream.Collectors.toSet());
    runningByEndpoint
        .entrySet()
        .removeIf(each -> each.getValue().isEmpty() && !names.contains(each.getKey()));
  }

  /** Returns whether the last call of {@link #schedule} left a free slot for an item. */
  boolean hasFreeSlot(BatchItem item) {
    return servicesWithFreeSlots.contains(serviceOf(item));
  }

  /** Cancels all items in flight; the outcome of non-idempotent ones is then unknown. */
  void cancelAll() {
    runningByEndpoint.values().forEach(active -> List.copyOf(active).forEach(RunningItem::cancel));
  }

  /** Returns the number of free batch slots at the owned endpoints by service. */
  Map<String, Integer> freeSlots() {
    Map<String, Integer> free = new HashMap<>();
    long now = state.now();
    for (EndpointView view : reachableEndpoints()) {
      int active = runningByEndpoint.getOrDefault(view.endpoint().name(), List.of()).size();
      int slots = Math.max(0, dependencies.batchPolicy().allowedItems(view, now) - active);
      free.merge(view.endpoint().service(), slots, Integer::sum);
    }
    return free;
  }

  /** Returns the number of waiting items in held segments by service. */
  Map<String, Integer> waitingItems() {
    Map<String, Integer> waiting = new HashMap<>();
    for (HeldSegment segment : state.heldSegments()) {
      segment.waitingAndDelayed().forEach(item -> waiting.merge(serviceOf(item), 1, Integer::sum));
    }
    return waiting;
  }

  /** Returns the owned endpoints without those that refused a connection. */
  private List<EndpointView> reachableEndpoints() {
    return state.ownedEndpoints().stream()
        .filter(view -> !refusing.contains(view.endpoint()))
        .toList();
  }

  private void sendItems(EndpointView view, List<HeldSegment> segments) {
    List<RunningItem> active =
        runningByEndpoint.computeIfAbsent(view.endpoint().name(), key -> new ArrayList<>());
    int allowed =
        state.isStopping()
            ? active.size()
            : dependencies.batchPolicy().allowedItems(view, state.now());
    preempt(active, allowed);
    for (HeldSegment segment : segments) {
      while (active.size() < allowed) {
        BatchItem item =
            segment.takeSendable(
                each -> serviceOf(each).equals(view.endpoint().service()), state.now());
        if (item == null) {
          break;
        }
        // The process may have been paused since the last check, so the lease may have expired.
        boolean leaseExpired =
            !dependencies.leases().isHeld(state.now())
                || dependencies.leases().expiryCount() != checkedExpiryCount;
        if (leaseExpired || !RunnerDecisions.hasRoomForResults(segments)) {
          segment.putBack(item);
          return;
        }
        send(segment, item, view, active);
      }
    }
    if (active.size() < allowed) {
      servicesWithFreeSlots.add(view.endpoint().service());
    }
  }

  /**
   * Preempts idempotent items beyond the allowed number, the most recently sent ones first. Items
   * that are not idempotent run to the end.
   */
  private static void preempt(List<RunningItem> active, int allowed) {
    int excess = active.size() - allowed;
    for (RunningItem runningItem : reversed(active)) {
      if (excess > 0 && runningItem.item().idempotent()) {
        if (!runningItem.isPreempted()) {
          runningItem.cancel();
        }
        excess--;
      }
    }
  }

  private static List<RunningItem> reversed(List<RunningItem> active) {
    List<RunningItem> youngestFirst = new ArrayList<>(active);
    java.util.Collections.reverse(youngestFirst);
    return youngestFirst;
  }

  private String serviceOf(BatchItem item) {
    return serviceByModel.computeIfAbsent(
        item.model(),
        model -> Model.find(dependencies.replica(), model).map(Model::service).orElse(""));
  }

  private void send(
      HeldSegment segment, BatchItem item, EndpointView view, List<RunningItem> active) {
    Placement placement =
        dependencies
            .endpoints()
            .begin(view.endpoint(), shape(segment.job(), item, view.endpoint().service()));
    if (!dependencies.crashGuard().detector().tryBegin(placement, state.now())) {
      withholdSuspect(segment, item, placement);
      return;
    }
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
            dependencies.clock().deadlineAfterMillis(dependencies.itemTimeoutMillis()));
    segment.running().add(run);
    active.add(run);
    ItemAnswerListener answerListener =
        new ItemAnswerListener(
            (status, body) -> inbox.accept(() -> handleAnswer(run, requestId, status, body)),
            failure -> inbox.accept(() -> handleFailure(run, failure)));
    try {
      run.setCallHandle(dependencies.engine().start(call, answerListener));
    } catch (RuntimeException failure) {
      answerListener.onFailure(new EngineFailure.Broken(failure.toString()));
    }
  }

  /**
   * Fails a quarantined item. Any other suspect is put back for later, since an endpoint may run
   * only one suspect at a time and other instances may still have to report on a lost endpoint.
   */
  private void withholdSuspect(HeldSegment segment, BatchItem item, Placement placement) {
    dependencies.endpoints().end(placement);
    CrashVerdict verdict =
        dependencies.crashGuard().detector().itemVerdict(placement.request(), state.now());
    if (verdict == CrashVerdict.QUARANTINED) {
      failItem(new RunningItem(segment, item, placement), "the item crashed several endpoints");
    } else {
      segment.putBackLater(item, state.now() + SUSPECT_RETRY_NANOS);
    }
  }

  private static RequestShape shape(Job job, BatchItem item, String service) {
    String body = item.body().toString();
    int prompt = body.length() / 4;
    int output = item.body().path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS);
    return new RequestShape(
        service,
        job.member(),
        ServiceClass.BATCH,
        prompt,
        output,
        0,
        Long.toHexString(Hashing.komihash5_0().hashCharsToLong(job.member() + "\n" + body)),
        item.idempotent(),
        Set.of());
  }

  private static byte[] body(BatchItem item) {
    ObjectNode body = item.body().deepCopy();
    body.put("stream", false);
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void handleAnswer(RunningItem run, String requestId, int status, byte[] answer) {
    if (!endRun(run, true)) {
      return;
    }
    dependencies.crashGuard().detector().itemAnswered(run.placement().request(), state.now());
    BatchItem item = run.item();
    if (item.idempotent() && (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE)) {
      retryAfterRefusal(run, "endpoint answered " + status);
      return;
    }
    if (status >= 500) {
      retryAfterFailure(run, "endpoint answered " + status);
      return;
    }
    if (answer.length > HeldSegment.MAX_CHUNK_BYTES) {
      addResult(
          run, ItemResult.ofError(item, ItemState.FAILED, "the answer is too large to store"));
      return;
    }
    JsonNode body;
    try {
      body = mapper.readTree(answer);
    } catch (IOException failure) {
      retryAfterFailure(run, "the answer is not JSON");
      return;
    }
    boolean done = status < 400;
    addResult(
        run,
        new ItemResult(
            item.index(),
            item.customId(),
            done ? ItemState.DONE : ItemState.FAILED,
            requestId,
            status,
            body,
            done ? null : "the endpoint refused the item with status " + status,
            answer.length));
  }

  private void handleFailure(RunningItem run, EngineFailure failure) {
    if (failure instanceof EngineFailure.Broken && !run.isPreempted()) {
      run.markConnectionBroken();
      calls.call(
          () -> dependencies.crashGuard().probe().test(run.placement()),
          crashed -> handleProbeResult(run, failure, crashed),
          probeFailure -> endWithoutAnswer(run, failure));
    } else {
      endWithoutAnswer(run, failure);
    }
  }

  /**
   * Ends a run whose connection broke. If the endpoint crashed, an idempotent item is retried
   * without using up its attempts; {@link CrashingRequestDetector#itemVerdict} decides whether the
   * item is to blame.
   */
  private void handleProbeResult(RunningItem run, EngineFailure failure, boolean crashed) {
    if (crashed) {
      dependencies.crashGuard().endpointLost().accept(run.placement());
    }
    if (!crashed || !run.item().idempotent()) {
      endWithoutAnswer(run, failure);
    } else if (endRun(run, true)) {
      dependencies.endpoints().markFailed(run.placement().endpoint());
      retryAfterInterruption(run);
    }
  }

  private void endWithoutAnswer(RunningItem run, EngineFailure failure) {
    if (!endRun(run, failure instanceof EngineFailure.Broken)) {
      return;
    }
    String endpoint = run.placement().endpoint();
    if (failure instanceof EngineFailure.NotRun notRun) {
      if (notRun.draining()) {
        dependencies.endpoints().markDraining(endpoint);
      } else if (!run.isPreempted()) {
        dependencies.endpoints().markFailed(endpoint);
        refusing.add(run.placement());
      }
      run.segment().putBack(run.item());
    } else if (run.isPreempted() && run.item().idempotent()) {
      run.segment().putBack(run.item());
    } else {
      if (!run.isPreempted()) {
        dependencies.endpoints().markFailed(endpoint);
      }
      retryAfterBreak(run, failure.reason());
    }
  }

  /**
   * Ends a run and frees its slot. Returns false if the run had ended before.
   *
   * @param mayHaveRun whether the endpoint may have started the item
   */
  private boolean endRun(RunningItem run, boolean mayHaveRun) {
    if (!run.segment().running().remove(run)) {
      return false;
    }
    dependencies.endpoints().end(run.placement());
    dependencies
        .crashGuard()
        .detector()
        .end(run.placement(), run.isConnectionBroken(), state.now());
    List<RunningItem> active = runningByEndpoint.get(run.placement().endpoint());
    if (active != null) {
      active.remove(run);
    }
    if (mayHaveRun) {
      run.segment().recordProgress(state.now());
    }
    return true;
  }

  private void retryAfterRefusal(RunningItem run, String reason) {
    int refusals = run.segment().countRefusal(run.item());
    if (refusals < RunnerDecisions.MAX_REFUSALS) {
      run.segment()
          .putBackLater(run.item(), state.now() + RunnerDecisions.retryDelayNanos(refusals));
    } else {
      failItem(run, "refused " + refusals + " times, last: " + reason);
    }
  }

  private void retryAfterFailure(RunningItem run, String reason) {
    BatchItem item = run.item();
    if (!item.idempotent()) {
      addResult(run, ItemResult.ofError(item, ItemState.OUTCOME_UNKNOWN, reason));
      return;
    }
    int attempts = run.segment().countAttempt(item);
    if (attempts < RunnerDecisions.MAX_ATTEMPTS) {
      run.segment().putBackLater(item, state.now() + RunnerDecisions.retryDelayNanos(attempts));
    } else {
      failItem(run, "failed " + attempts + " times, last: " + reason);
    }
  }

  /**
   * Retries an item whose connection broke at an endpoint that answers a probe. The endpoint may
   * have restarted before the probe, so that a burst of broken connections counts as one failure.
   */
  private void retryAfterBreak(RunningItem run, String reason) {
    BatchItem item = run.item();
    if (!item.idempotent()) {
      addResult(run, ItemResult.ofError(item, ItemState.OUTCOME_UNKNOWN, reason));
      return;
    }
    int breaks = run.segment().countBreak(item, state.now());
    if (breaks < RunnerDecisions.MAX_ATTEMPTS) {
      retryAfterInterruption(run);
    } else {
      failItem(run, "broke off " + breaks + " times, last: " + reason);
    }
  }

  private void retryAfterInterruption(RunningItem run) {
    int interruptions = run.segment().countInterruption(run.item());
    double fraction =
        RendezvousHashing.fraction(
            run.placement().request().fingerprint(), Integer.toString(interruptions));
    CrashVerdict verdict =
        dependencies.crashGuard().detector().itemVerdict(run.placement().request(), state.now());
    // An item about to be condemned is not sent again, and needs no delay.
    long delay =
        verdict == CrashVerdict.AWAITING_REPORTS
            ? SUSPECT_RETRY_NANOS
            : RunnerDecisions.interruptionDelayNanos(interruptions, fraction);
    run.segment().putBackLater(run.item(), state.now() + delay);
  }

  private void failItem(RunningItem run, String reason) {
    dependencies.log().log(
        LogEvent.ITEM_FAILED,
        EventField.of("job", run.segment().job().id()),
        EventField.of("item", run.item().customId()),
        EventField.of("reason", reason));
    addResult(run, ItemResult.ofError(run.item(), ItemState.FAILED, reason));
  }

  private void addResult(RunningItem run, ItemResult result) {
    run.segment().addPendingResult(result, state.now());
  }
}
