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
import org.sedgeroad.route.CrashVerdict;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;
import org.sedgeroad.route.RequestShape;

/** Sends items to endpoints and takes their answers. Used by the runner's thread only. */
final class ItemSender {
  private static final int DEFAULT_OUTPUT_TOKENS = 64;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final long SUSPECT_RETRY_NANOS = 300_000_000L;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<String, List<RunningItem>> running = new HashMap<>();
  private final RunnerState state;
  private final JobRunnerParts parts;
  private final BackgroundCalls calls;
  private final Consumer<Runnable> inbox;
  private final Map<String, String> services = new HashMap<>();
  private final Set<String> servicesWithRoom = new HashSet<>();
  private long checkedLapses;

  ItemSender(RunnerState state, BackgroundCalls calls, Consumer<Runnable> inbox) {
    this.state = state;
    this.parts = state.parts();
    this.calls = calls;
    this.inbox = inbox;
  }

  // -----------------------------------------------------------------------

  /**
   * Sends what the endpoints may get now and cancels what is beyond their allowance.
   *
   * @param lapses lapses of the lease under which the held segments were checked
   */
  void schedule(long lapses) {
    checkedLapses = lapses;
    services.clear();
    servicesWithRoom.clear();
    List<HeldSegment> sources =
        state.held().stream()
            .filter(segment -> !segment.isCancelled())
            .sorted(
                Comparator.comparing((HeldSegment segment) -> segment.job().deadline())
                    .thenComparing(segment -> !segment.isTakenOver()))
            .toList();
    List<EndpointView> home = state.homeEndpoints();
    for (EndpointView view : home) {
      fill(view, sources);
    }
    Set<String> names =
        home.stream()
            .map(view -> view.endpoint().name())
            .collect(java.util.stream.Collectors.toSet());
    running
        .entrySet()
        .removeIf(each -> each.getValue().isEmpty() && !names.contains(each.getKey()));
  }

  /** Returns whether an endpoint had room left for an item in the last round. */
  boolean hasRoom(BatchItem item) {
    return servicesWithRoom.contains(serviceOf(item));
  }

  /** Cancels every item in flight; the outcome of non-idempotent ones is then unknown. */
  void cancelAll() {
    running.values().forEach(active -> List.copyOf(active).forEach(RunningItem::cancel));
  }

  /** Returns the free batch slots of this instance's endpoints by service. */
  Map<String, Integer> freeSlots() {
    Map<String, Integer> free = new HashMap<>();
    long now = state.now();
    for (EndpointView view : state.homeEndpoints()) {
      int active = running.getOrDefault(view.endpoint().name(), List.of()).size();
      int slots = Math.max(0, parts.policy().allowedItems(view, now) - active);
      free.merge(view.endpoint().service(), slots, Integer::sum);
    }
    return free;
  }

  /** Returns the waiting items by service. */
  Map<String, Integer> waitingItems() {
    Map<String, Integer> waiting = new HashMap<>();
    for (HeldSegment segment : state.held()) {
      segment.waiting().forEach(item -> waiting.merge(serviceOf(item), 1, Integer::sum));
    }
    return waiting;
  }

  // -----------------------------------------------------------------------

  private void fill(EndpointView view, List<HeldSegment> sources) {
    List<RunningItem> active =
        running.computeIfAbsent(view.endpoint().name(), key -> new ArrayList<>());
    int allowed =
        state.isStopping() ? active.size() : parts.policy().allowedItems(view, state.now());
    preempt(active, allowed);
    for (HeldSegment source : sources) {
      while (active.size() < allowed) {
        BatchItem item =
            source.takeSendable(
                each -> serviceOf(each).equals(view.endpoint().service()), state.now());
        if (item == null) {
          break;
        }
        // A long pause may have come between the start of this round and this send.
        boolean lapsed =
            !parts.leases().isHeld(state.now()) || parts.leases().lapses() != checkedLapses;
        if (lapsed || !RunnerDecisions.mayHoldMore(sources)) {
          source.putBack(item);
          return;
        }
        send(source, item, view, active);
      }
    }
    if (active.size() < allowed) {
      servicesWithRoom.add(view.endpoint().service());
    }
  }

  /** Cancels the youngest items beyond the allowance; non-idempotent ones run to their end. */
  private static void preempt(List<RunningItem> active, int allowed) {
    int excess = active.size() - allowed;
    for (RunningItem item : reversed(active)) {
      if (excess > 0 && item.item().idempotent()) {
        if (!item.isPreempted()) {
          item.cancel();
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
    return services.computeIfAbsent(
        item.model(), model -> Model.find(parts.replica(), model).map(Model::service).orElse(""));
  }

  private void send(
      HeldSegment segment, BatchItem item, EndpointView view, List<RunningItem> active) {
    Placement placement =
        parts
            .endpoints()
            .begin(view.endpoint(), shape(segment.job(), item, view.endpoint().service()));
    if (!parts.crashes().suspicion().begin(placement, state.now())) {
      keepBack(segment, item, placement);
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
            parts.clock().deadlineAfterMillis(parts.itemTimeoutMillis()));
    segment.running().add(run);
    segment.progressed(state.now());
    active.add(run);
    ItemAnswer answer =
        new ItemAnswer(
            (status, body) -> inbox.accept(() -> answered(run, requestId, status, body)),
            failure -> inbox.accept(() -> failed(run, failure)));
    try {
      run.started(parts.engine().start(call, answer));
    } catch (RuntimeException failure) {
      answer.onFailure(new EngineFailure.Broken(failure.toString()));
    }
  }

  /** Ends a quarantined item; another suspect waits until it can run without one beside it. */
  private void keepBack(HeldSegment segment, BatchItem item, Placement placement) {
    parts.endpoints().end(placement);
    CrashVerdict verdict =
        parts.crashes().suspicion().verdict(placement.request().fingerprint(), state.now());
    if (verdict == CrashVerdict.QUARANTINED) {
      fail(new RunningItem(segment, item, placement), "the item crashed two endpoints");
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

  // ----------------------------------------------------------------------- answers

  private void answered(RunningItem run, String requestId, int status, byte[] answer) {
    if (!finish(run)) {
      return;
    }
    parts.crashes().suspicion().answered(run.placement().request().fingerprint());
    BatchItem item = run.item();
    if (item.idempotent() && (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE)) {
      refused(run, "endpoint answered " + status);
      return;
    }
    if (status >= 500) {
      retry(run, "endpoint answered " + status);
      return;
    }
    if (answer.length > HeldSegment.CHUNK_BYTES) {
      add(run, ItemResult.ofError(item, ItemState.FAILED, "the answer is too large to store"));
      return;
    }
    JsonNode body;
    try {
      body = mapper.readTree(answer);
    } catch (IOException failure) {
      retry(run, "the answer is not JSON");
      return;
    }
    boolean done = status < 400;
    add(
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

  private void failed(RunningItem run, EngineFailure failure) {
    if (failure instanceof EngineFailure.Broken && !run.isPreempted()) {
      run.connectionBroke();
      calls.call(
          () -> parts.crashes().probe().test(run.placement()),
          dead -> probed(run, failure, dead),
          unprobed -> ended(run, failure));
    } else {
      ended(run, failure);
    }
  }

  /** An endpoint that died takes innocent items with it, which must not use up their attempts. */
  private void probed(RunningItem run, EngineFailure failure, boolean dead) {
    if (dead) {
      parts.crashes().lost().accept(run.placement());
    }
    if (!dead || !run.item().idempotent()) {
      ended(run, failure);
    } else if (finish(run)) {
      parts.endpoints().markFailed(run.placement().endpoint());
      refused(run, "the endpoint died: " + failure.reason());
    }
  }

  private void ended(RunningItem run, EngineFailure failure) {
    if (!finish(run)) {
      return;
    }
    String endpoint = run.placement().endpoint();
    if (failure instanceof EngineFailure.NotRun notRun) {
      if (notRun.draining()) {
        parts.endpoints().markDraining(endpoint);
      } else if (!run.isPreempted()) {
        parts.endpoints().markFailed(endpoint);
      }
      run.held().putBack(run.item());
    } else if (run.isPreempted() && run.item().idempotent()) {
      run.held().putBack(run.item());
    } else {
      if (!run.isPreempted()) {
        parts.endpoints().markFailed(endpoint);
      }
      retry(run, failure.reason());
    }
  }

  /** Ends a run; returns whether it had not ended before. */
  private boolean finish(RunningItem run) {
    if (!run.held().running().remove(run)) {
      return false;
    }
    parts.endpoints().end(run.placement());
    parts.crashes().suspicion().end(run.placement(), run.isBroken(), state.now());
    List<RunningItem> active = running.get(run.placement().endpoint());
    if (active != null) {
      active.remove(run);
    }
    run.held().progressed(state.now());
    return true;
  }

  private void refused(RunningItem run, String reason) {
    int refusals = run.held().countRefusal(run.item());
    if (refusals < RunnerDecisions.REFUSALS) {
      run.held().putBackLater(run.item(), state.now() + RunnerDecisions.itemPauseNanos(refusals));
    } else {
      fail(run, "refused " + refusals + " times, last: " + reason);
    }
  }

  private void retry(RunningItem run, String reason) {
    BatchItem item = run.item();
    if (!item.idempotent()) {
      add(run, ItemResult.ofError(item, ItemState.OUTCOME_UNKNOWN, reason));
      return;
    }
    int attempts = run.held().countAttempt(item);
    if (attempts < RunnerDecisions.ATTEMPTS) {
      run.held().putBackLater(item, state.now() + RunnerDecisions.itemPauseNanos(attempts));
    } else {
      fail(run, "failed " + attempts + " times, last: " + reason);
    }
  }

  private void fail(RunningItem run, String reason) {
    parts.log().log(
        LogEvent.ITEM_FAILED,
        EventField.of("job", run.held().job().id()),
        EventField.of("item", run.item().customId()),
        EventField.of("reason", reason));
    add(run, ItemResult.ofError(run.item(), ItemState.FAILED, reason));
  }

  private void add(RunningItem run, ItemResult result) {
    run.held().addPending(result, state.now());
  }
}
