package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.gateway.EndpointCall;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.placement.BatchQueue;
import org.sedgeroad.placement.BatchSource;
import org.sedgeroad.placement.ItemUrgency;
import org.sedgeroad.placement.WorkClass;

/**
 * Runs the items of the jobs that this instance owns, in the order of {@link ItemUrgency}, and
 * appends their results to the store. Must be used on the event loop.
 */
public final class OwnedJobRunner implements BatchSource {
  /** Timeout of one run of an item, in milliseconds. It is six times the usual duration of 5 s. */
  private static final long RUN_TIMEOUT_MILLIS = 30_000;

  /**
   * Time after a job's due time during which a result still counts as on time, in milliseconds.
   * Clients read results about twice a second.
   */
  private static final long READ_GRACE_MILLIS = 500;

  /**
   * Delay before results that remain unstored after an append are appended again, in milliseconds.
   * It is similar to the retry delay of list calls to the store.
   */
  private static final long STORE_RETRY_MILLIS = 300;

  /** Reason that a client reads with an item whose route was dropped. */
  private static final String ROUTE_DROPPED = "the route was removed";

  private final BatchDependencies dependencies;
  private final ItemDurationEstimator durationEstimator = new ItemDurationEstimator();
  private final ResultAppender appender;
  private final JobRoutes routes;
  private Consumer<String> conflictListener = id -> {};
  private final Map<String, OwnedJob> jobs = new HashMap<>();
  private final Map<String, List<ItemRun>> runsByEndpoint = new HashMap<>();

  /** Creates a runner without jobs. */
  public OwnedJobRunner(BatchDependencies dependencies) {
    this.dependencies = dependencies;
    this.appender =
        new ResultAppender(
            dependencies, this::scheduleAppend, job -> conflictListener.accept(job.head().id()));
    this.routes =
        new JobRoutes(
            dependencies.routes(),
            now -> dependencies.fleetLoad().others(now).configurationVersion());
  }

  /** Returns the routes of jobs. */
  JobRoutes routes() {
    return routes;
  }

  /** Sets the receiver of the ids of jobs of which another instance has stored results. */
  void setConflictListener(Consumer<String> listener) {
    conflictListener = listener;
  }

  /** Starts running a job whose stored results have been loaded. */
  void add(OwnedJob job) {
    jobs.put(job.head().id(), job);
    if (job.isLoadedFromStore() && !job.isEnded()) {
      giveUpItemsWithFaults(job);
    }
    dependencies.dispatcher().refresh();
  }

  /** Gives up items that an earlier version of this program accepted and that can't be sent. */
  private void giveUpItemsWithFaults(OwnedJob job) {
    for (OwnedItem item : job.items()) {
      Optional<String> fault = item.isDone() ? Optional.empty() : item.spec().fault();
      fault.ifPresent(reason -> giveUp(job, List.of(item), reason));
    }
    storeIfDue(job);
  }

  /** Returns the jobs that are run here. */
  List<OwnedJob> jobs() {
    return List.copyOf(jobs.values());
  }

  Optional<OwnedJob> job(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Stops the items of a job that has been marked as ended. */
  void end(String id) {
    OwnedJob job = jobs.get(id);
    if (job != null && !job.isEnded()) {
      job.setEnded();
      stopItems(job);
      if (!job.isComplete()) {
        dependencies.log().log(LogEvent.JOB_CANCELLED, EventField.of("job", id));
      }
    }
  }

  /** Stops running a job that another instance has taken over. */
  void drop(String id) {
    if (remove(id)) {
      dependencies.log().log(LogEvent.SEGMENT_LOST, EventField.of("job", id));
    }
  }

  /** Stops and removes a job; returns whether this instance ran it. */
  boolean remove(String id) {
    OwnedJob job = jobs.remove(id);
    if (job != null) {
      stopItems(job);
    }
    return job != null;
  }

  /** Returns the tokens of unfinished items by the name of the job's route. */
  public Map<String, Long> waitingTokens() {
    Map<String, Long> tokens = new HashMap<>();
    for (OwnedJob job : jobs.values()) {
      if (!job.isComplete() && !job.isEnded()) {
        tokens.merge(routes.limitName(job.head()), job.waitingTokens(), Long::sum);
      }
    }
    return tokens;
  }

  /** Returns the number of items that are ready to start, by the report name of their queue. */
  public Map<String, Integer> readyByQueue() {
    Map<String, Integer> ready = new HashMap<>();
    ready().forEach((queue, count) -> ready.put(queue.reportName(), count));
    return ready;
  }

  /** Stores the results of all jobs whose results are due to be stored. */
  public void storeDueResults() {
    for (OwnedJob job : jobs.values()) {
      storeIfDue(job);
    }
  }

  /**
   * Gives up the waiting items of jobs whose route was dropped and did not return in time; they can
   * no longer run. Called several times a second.
   */
  public void giveUpItemsOfDroppedRoutes() {
    long now = dependencies.clock().nanos();
    routes.observe(now);
    for (OwnedJob job : jobs.values()) {
      if (!job.isComplete() && !job.isEnded() && routes.hasEnded(job.head(), now)) {
        giveUpWaitingItems(job);
      }
    }
  }

  /** Gives up the items that do not run; those that run may still be completed. */
  private void giveUpWaitingItems(OwnedJob job) {
    List<OwnedItem> waiting = job.items().stream().filter(OwnedItem::isWaiting).toList();
    if (waiting.isEmpty()) {
      return;
    }
    giveUp(job, waiting, ROUTE_DROPPED);
    storeIfDue(job);
  }

  private void giveUp(OwnedJob job, List<OwnedItem> items, String cause) {
    long now = dependencies.clock().nanos();
    items.forEach(
        item -> job.addUnstoredResult(item, new JobResult(item.spec().id(), false, cause), now));
    dependencies.metrics().recordItemsGivenUp(items.size());
    dependencies.log().log(
        LogEvent.ITEMS_GIVEN_UP,
        EventField.of("job", job.head().id()),
        EventField.of("items", items.size()),
        EventField.of("cause", cause),
        EventField.of("route", job.head().route()),
        EventField.of("accepted_under", job.head().configurationVersion()),
        EventField.of("configuration", dependencies.routes().current().version()));
  }

  /** Stops all runs for a planned stop; other instances take over the jobs. */
  public void stopAll() {
    // Jobs are marked as ended first, because releasing a slot would otherwise start the next item.
    jobs.values().forEach(OwnedJob::setEnded);
    jobs.values().forEach(this::stopItems);
    jobs.values().forEach(appender::append);
  }

  @Override
  public Map<BatchQueue, Integer> ready() {
    Map<BatchQueue, Integer> ready = new HashMap<>();
    forEachReady(
        (item, service) ->
            ready.merge(new BatchQueue(service, urgency(item).isLate()), 1, Integer::sum));
    return ready;
  }

  @Override
  public Optional<ItemUrgency> next(String service) {
    return nextItem(service).map(this::urgency);
  }

  @Override
  public PromptPrefix nextPrompt(String service) {
    return nextItem(service).map(this::prompt).orElse(PromptPrefix.NONE);
  }

  private PromptPrefix prompt(OwnedItem item) {
    return route(item.job())
        .filter(Route::isSticky)
        .map(route -> dependencies.promptReader().apply(item.spec().headers()))
        .orElse(PromptPrefix.NONE);
  }

  private Optional<OwnedItem> nextItem(String service) {
    List<OwnedItem> ready = new ArrayList<>();
    forEachReady(
        (item, selected) -> {
          if (selected.equals(service)) {
            ready.add(item);
          }
        });
    return ready.stream().min(Comparator.comparing(this::urgency, ItemUrgency.ORDER));
  }

  @Override
  public boolean startNext(ServiceEndpoint endpoint) {
    Optional<OwnedItem> next = nextItem(endpoint.service());
    next.ifPresent(item -> start(item, endpoint));
    return next.isPresent();
  }

  @Override
  public boolean preempt(String endpoint) {
    Optional<ItemRun> leastUrgent =
        runsByEndpoint.getOrDefault(endpoint, List.of()).stream()
            .max(Comparator.comparing(run -> urgency(run.item()), ItemUrgency.ORDER));
    leastUrgent.ifPresent(
        run -> {
          logItem(LogEvent.ITEM_WITHDRAWN, run, "live requests need the place");
          remove(run);
          run.stop();
          run.item().backOff(0, dependencies.clock().nanos());
          dependencies.metrics().recordItemRun("withdrawn");
        });
    return leastUrgent.isPresent();
  }

  /**
   * Returns when the results of a job are due. It is computed when the route is known for the first
   * time, which may be after the job was loaded; until then they are due now.
   */
  private long dueNanos(OwnedJob job) {
    long now = dependencies.clock().nanos();
    if (job.dueNanos().isEmpty()) {
      route(job).ifPresent(route -> job.setDueNanos(dueNanos(job.head(), route, now)));
    }
    return job.dueNanos().orElse(now);
  }

  private static long dueNanos(JobHead head, Route route, long nowNanos) {
    long runTargetMillis = route.batch().runTargetMillis();
    // Bounded, because a clock may have been set. The value affects only the order of items.
    long remainingMillis = head.submittedMillis() + runTargetMillis - System.currentTimeMillis();
    return nowNanos + Math.max(0, Math.min(runTargetMillis, remainingMillis)) * 1_000_000L;
  }

  private ItemUrgency urgency(OwnedItem item) {
    long remainingNanos = durationEstimator.remainingNanos(item.progress().eventCount());
    return new ItemUrgency(
        dueNanos(item.job()) + READ_GRACE_MILLIS * 1_000_000L,
        dependencies.clock().nanos(),
        remainingNanos);
  }

  /** Passes on each item that could start now, with the name of the service at which it is to. */
  private void forEachReady(BiConsumer<OwnedItem, String> consumer) {
    long now = dependencies.clock().nanos();
    ServiceSelection selection = new ServiceSelection(dependencies.dispatcher()::stateOf);
    for (OwnedJob job : jobs.values()) {
      Optional<Route> found = job.isEnded() || job.isComplete() ? Optional.empty() : route(job);
      found.ifPresent(
          route ->
              job.items().stream()
                  .filter(item -> item.isReady(now))
                  .forEach(
                      item ->
                          consumer.accept(
                              item,
                              selection.serviceFor(
                                  item, route, () -> urgency(item).slackNanos()))));
    }
  }

  private Optional<Route> route(OwnedJob job) {
    return routes.find(job.head());
  }

  private void start(OwnedItem item, ServiceEndpoint endpoint) {
    ItemRun run = new ItemRun(dependencies, item, endpoint, prompt(item), this::runEnded);
    item.setRun(run);
    runsByEndpoint.computeIfAbsent(endpoint.name(), name -> new ArrayList<>()).add(run);
    logItem(LogEvent.ITEM_STARTED, run, "after event " + item.progress().lastEventId());
    ItemSpec spec = item.spec();
    run.start(
        new EndpointCall(
            endpoint,
            spec.id(),
            "POST",
            spec.target(),
            headers(item),
            Base64.getDecoder().decode(spec.body()),
            dependencies.routes().current().workspaces().isRequired()
                || !item.job().head().workspace().isEmpty(),
            item.job().head().workspace(),
            item.progress().lastEventId(),
            dependencies.clock().deadlineAfterMillis(RUN_TIMEOUT_MILLIS)));
  }

  private static Map<String, String> headers(OwnedItem item) {
    Map<String, String> headers = new HashMap<>(item.spec().headers());
    headers.put("Host", item.job().head().host());
    return headers;
  }

  private void runEnded(ItemRun run, ItemRun.Outcome outcome, String cause) {
    remove(run);
    OwnedItem item = run.item();
    item.addEndedRun();
    OwnedJob job = item.job();
    long now = dependencies.clock().nanos();
    String id = item.spec().id();
    dependencies.metrics().recordItemRun(outcome.name().toLowerCase(java.util.Locale.ROOT));
    if (outcome == ItemRun.Outcome.COMPLETED) {
      logItem(LogEvent.ITEM_RUN_ENDED, run, outcome + ": " + cause);
    } else {
      dependencies.log().log(LogEvent.ITEM_RUN_ENDED, fields(run, outcome + ": " + cause));
    }
    if (item.isDone()) {
      // Another instance stored a result of the item while it ran here.
      dependencies.dispatcher().release(run.endpoint().name(), WorkClass.BATCH);
      return;
    }
    switch (outcome) {
      case COMPLETED -> {
        durationEstimator.addItem(item.progress().eventCount());
        durationEstimator.addRun(run.events(), now - run.startedNanos());
        dependencies.dispatcher().health().recordSuccess(run.endpoint().name());
        job.addUnstoredResult(item, new JobResult(id, true, item.progress().toOutput()), now);
      }
      case IMPOSSIBLE -> job.addUnstoredResult(item, new JobResult(id, false, ""), now);
      case FAILED, TOO_LARGE -> {
        int failures = item.addFailedRun(now);
        // Without a route the allowed number is unknown; the item waits for the route or its end.
        if (route(job).map(route -> failures >= route.maximumEndpoints()).orElse(false)) {
          String reason = outcome == ItemRun.Outcome.TOO_LARGE ? cause : "";
          job.addUnstoredResult(item, new JobResult(id, false, reason), now);
        }
      }
      // A broken run is evidence about the endpoint, which EndpointHealth keeps, not the item.
      case NOT_RUN, BROKEN -> item.backOff(1, now);
      default -> throw new IllegalStateException(outcome.name());
    }
    storeIfDue(job);
    dependencies.dispatcher().release(run.endpoint().name(), WorkClass.BATCH);
  }

  private void remove(ItemRun run) {
    run.item().setRun(null);
    List<ItemRun> atEndpoint = runsByEndpoint.get(run.endpoint().name());
    if (atEndpoint != null && atEndpoint.remove(run) && atEndpoint.isEmpty()) {
      runsByEndpoint.remove(run.endpoint().name());
    }
  }

  private void stopItems(OwnedJob job) {
    for (OwnedItem item : job.items()) {
      ItemRun run = item.run();
      if (run != null) {
        remove(run);
        run.stop();
        dependencies.dispatcher().release(run.endpoint().name(), WorkClass.BATCH);
      }
    }
  }

  private void storeIfDue(OwnedJob job) {
    List<JobResult> unstored = job.unstoredResults();
    long now = dependencies.clock().nanos();
    if (unstored.isEmpty() || job.isAppending() || !job.mayAppend(now)) {
      return;
    }
    boolean last = job.storedResults().size() + unstored.size() >= job.items().size();
    long untilDueMillis = (dueNanos(job) - now) / 1_000_000L + READ_GRACE_MILLIS;
    long waitedMillis = (now - job.oldestUnstoredNanos()) / 1_000_000L;
    if (ResultStoreRule.isDue(last, untilDueMillis, waitedMillis)) {
      appender.append(job);
    }
  }

  /** Schedules another append for results that remain unstored after an append. */
  private void scheduleAppend(OwnedJob job) {
    dependencies
        .loop()
        .scheduleAt(
            dependencies.clock().deadlineAfterMillis(STORE_RETRY_MILLIS), () -> storeIfDue(job));
  }

  private void logItem(LogEvent event, ItemRun run, String detail) {
    dependencies.log().logRoutine(run.item().spec().id(), event, fields(run, detail));
  }

  private static EventField[] fields(ItemRun run, String detail) {
    return new EventField[] {
      EventField.of("request", run.item().spec().id()),
      EventField.of("job", run.item().job().head().id()),
      EventField.of("endpoint", run.endpoint().name()),
      EventField.of("events", run.item().progress().eventCount()),
      EventField.of("detail", detail)
    };
  }
}
