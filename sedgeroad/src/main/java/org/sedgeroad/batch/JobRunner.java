package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.gateway.EndpointCall;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.gateway.RouteKind;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.placement.BatchSource;
import org.sedgeroad.placement.ItemUrgency;
import org.sedgeroad.placement.WorkClass;

/**
 * Runs the items of the jobs that this instance owns, the job that is due first first, and appends
 * their results to the store. Used on the event loop.
 */
public final class JobRunner implements BatchSource {
  /**
   * Longest time that a result waits for others to be stored with, in milliseconds; items of a job
   * end within about a second of each other, and a store call is paid for.
   */
  private static final long GROUP_MILLIS = 700;

  /** Time before a job is due from which its results are stored at once, in milliseconds. */
  private static final long URGENT_MILLIS = 2_000;

  /**
   * Time that an endpoint gets for one run of an item, in milliseconds; six times the usual 5 s.
   */
  private static final long RUN_MILLIS = 30_000;

  /**
   * Time after a job is due in which a read still finds its results in time, in milliseconds;
   * clients read about twice a second.
   */
  private static final long READ_MILLIS = 500;

  /** Pause after the store did not take results, in milliseconds; as for lists of the store. */
  private static final long STORE_RETRY_MILLIS = 300;

  private final BatchParts parts;
  private final ItemPace pace = new ItemPace();
  private final ResultAppender appender;
  private final Map<String, OwnedJob> jobs = new HashMap<>();
  private final Map<String, List<ItemRun>> runs = new HashMap<>();

  /** Creates a runner without jobs. */
  public JobRunner(BatchParts parts) {
    this.parts = parts;
    this.appender = new ResultAppender(parts, this::lost);
  }

  // -----------------------------------------------------------------------

  /** Takes up a job whose listed results are known. */
  void add(OwnedJob job) {
    jobs.put(job.head().id(), job);
    parts.dispatcher().refresh();
  }

  Optional<OwnedJob> job(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Stops the items of a job that its client has ended. */
  void end(String id) {
    OwnedJob job = jobs.get(id);
    if (job != null && !job.isEnded()) {
      job.setEnded();
      stopItems(job);
      if (!job.isWhole()) {
        parts.log().log(LogEvent.JOB_CANCELLED, EventField.of("job", id));
      }
    }
  }

  /** Drops a job that another instance runs from now on. */
  void drop(String id) {
    if (forget(id)) {
      parts.log().log(LogEvent.SEGMENT_LOST, EventField.of("job", id));
    }
  }

  /** Stops and forgets a job that has been deleted; returns whether it was run here. */
  boolean forget(String id) {
    OwnedJob job = jobs.remove(id);
    if (job != null) {
      stopItems(job);
    }
    return job != null;
  }

  /** Returns the tokens of unfinished items by the name of the route in force. */
  public Map<String, Long> waitingTokens() {
    Map<String, Long> tokens = new HashMap<>();
    for (OwnedJob job : jobs.values()) {
      if (!job.isWhole() && !job.isEnded()) {
        route(job).ifPresent(route -> tokens.merge(route.name(), job.waitingTokens(), Long::sum));
      }
    }
    return tokens;
  }

  /** Returns the number of items that could start, by service. */
  public Map<String, Integer> readyByService() {
    Map<String, Integer> ready = new HashMap<>();
    for (String service : services()) {
      ready.put(service, ready(service));
    }
    return ready;
  }

  /** Stores results that have waited long enough. */
  public void storeDueResults() {
    for (OwnedJob job : jobs.values()) {
      storeIfDue(job);
    }
  }

  /** Stops all runs for a planned stop; the items go on elsewhere. */
  public void stopAll() {
    // Ended first: a place that is given back would otherwise start the next item.
    jobs.values().forEach(OwnedJob::setEnded);
    jobs.values().forEach(this::stopItems);
    jobs.values().forEach(appender::append);
  }

  // -----------------------------------------------------------------------

  @Override
  public Set<String> services() {
    Set<String> services = new HashSet<>();
    for (OwnedJob job : jobs.values()) {
      if (!job.isWhole() && !job.isEnded()) {
        route(job).ifPresent(route -> services.add(route.serviceFor(0)));
      }
    }
    return services;
  }

  @Override
  public int ready(String service) {
    return readyItems(service).size();
  }

  @Override
  public boolean startNext(ServiceEndpoint endpoint) {
    Optional<OwnedItem> next =
        readyItems(endpoint.service()).stream()
            .min(Comparator.comparing(this::urgency, ItemUrgency.ORDER));
    next.ifPresent(item -> start(item, endpoint));
    return next.isPresent();
  }

  @Override
  public boolean withdraw(String endpoint) {
    Optional<ItemRun> last =
        runs.getOrDefault(endpoint, List.of()).stream()
            .max(Comparator.comparing(run -> urgency(run.item()), ItemUrgency.ORDER));
    last.ifPresent(
        run -> {
          logItem(LogEvent.ITEM_WITHDRAWN, run, "live requests need the place");
          forget(run);
          run.stop();
          run.item().pause(0, parts.clock().nanos());
          parts.metrics().item("withdrawn");
        });
    return last.isPresent();
  }

  // -----------------------------------------------------------------------

  private ItemUrgency urgency(OwnedItem item) {
    long needed = pace.neededNanos(item.progress().events());
    return new ItemUrgency(
        item.job().dueNanos() + READ_MILLIS * 1_000_000L, parts.clock().nanos(), needed);
  }

  private List<OwnedItem> readyItems(String service) {
    long now = parts.clock().nanos();
    List<OwnedItem> ready = new ArrayList<>();
    for (OwnedJob job : jobs.values()) {
      if (!job.isEnded()
          && !job.isWhole()
          && route(job).map(route -> route.allows(service)).orElse(false)) {
        job.items().stream().filter(item -> item.isReady(now)).forEach(ready::add);
      }
    }
    return ready;
  }

  private Optional<Route> route(OwnedJob job) {
    return parts
        .routes()
        .current()
        .match(job.head().host(), job.head().path())
        .filter(route -> route.kind() == RouteKind.BATCH);
  }

  private void start(OwnedItem item, ServiceEndpoint endpoint) {
    ItemRun run = new ItemRun(parts, item, endpoint, this::ended);
    item.setRun(run);
    runs.computeIfAbsent(endpoint.name(), name -> new ArrayList<>()).add(run);
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
            item.progress().lastEventId(),
            parts.clock().deadlineAfterMillis(RUN_MILLIS)));
  }

  private static Map<String, String> headers(OwnedItem item) {
    Map<String, String> headers = new HashMap<>(item.spec().headers());
    headers.put("Host", item.job().head().host());
    return headers;
  }

  private void ended(ItemRun run, ItemRun.Outcome outcome, String cause) {
    forget(run);
    OwnedItem item = run.item();
    OwnedJob job = item.job();
    long now = parts.clock().nanos();
    String id = item.spec().id();
    parts.metrics().item(outcome.name().toLowerCase(java.util.Locale.ROOT));
    if (outcome == ItemRun.Outcome.COMPLETED) {
      logItem(LogEvent.ITEM_RUN_ENDED, run, outcome + ": " + cause);
    } else {
      parts.log().log(LogEvent.ITEM_RUN_ENDED, fields(run, outcome + ": " + cause));
    }
    if (item.isDone()) {
      // Another instance listed the item while it ran here.
      parts.dispatcher().release(run.endpoint().name(), WorkClass.BATCH);
      return;
    }
    switch (outcome) {
      case COMPLETED -> {
        pace.addItem(item.progress().events());
        pace.addRun(run.events(), now - run.startedNanos());
        parts.dispatcher().health().succeeded(run.endpoint().name());
        job.addFinished(item, new JobResult(id, true, item.progress().toOutput()), now);
      }
      case IMPOSSIBLE -> job.addFinished(item, new JobResult(id, false, ""), now);
      case FAILED -> {
        int most = route(job).map(Route::maximumEndpoints).orElse(1);
        if (item.addFailure(now) >= most) {
          job.addFinished(item, new JobResult(id, false, ""), now);
        }
      }
      case NOT_RUN -> item.pause(1, now);
      case BROKEN -> item.addBreak(item.progress().events() == 0, now);
      default -> throw new IllegalStateException(outcome.name());
    }
    storeIfDue(job);
    parts.dispatcher().release(run.endpoint().name(), WorkClass.BATCH);
  }

  private void forget(ItemRun run) {
    run.item().setRun(null);
    List<ItemRun> atEndpoint = runs.get(run.endpoint().name());
    if (atEndpoint != null && atEndpoint.remove(run) && atEndpoint.isEmpty()) {
      runs.remove(run.endpoint().name());
    }
  }

  private void stopItems(OwnedJob job) {
    for (OwnedItem item : job.items()) {
      ItemRun run = item.run();
      if (run != null) {
        forget(run);
        run.stop();
        parts.dispatcher().release(run.endpoint().name(), WorkClass.BATCH);
      }
    }
  }

  private void storeIfDue(OwnedJob job) {
    List<JobResult> finished = job.finished();
    if (finished.isEmpty() || job.isAppending()) {
      return;
    }
    long now = parts.clock().nanos();
    boolean all = job.listed().size() + finished.size() >= job.items().size();
    boolean urgent = job.dueNanos() - now < URGENT_MILLIS * 1_000_000L;
    boolean waited = now - job.oldestFinishedNanos() >= GROUP_MILLIS * 1_000_000L;
    if (all || urgent || waited) {
      appender.append(job);
    }
  }

  /** Called when results could not be appended; they are tried again after a pause. */
  private void lost(OwnedJob job) {
    parts.loop().at(parts.clock().deadlineAfterMillis(STORE_RETRY_MILLIS), () -> storeIfDue(job));
  }

  private void logItem(LogEvent event, ItemRun run, String detail) {
    parts.log().logRoutine(run.item().spec().id(), event, fields(run, detail));
  }

  private static EventField[] fields(ItemRun run, String detail) {
    return new EventField[] {
      EventField.of("request", run.item().spec().id()),
      EventField.of("job", run.item().job().head().id()),
      EventField.of("endpoint", run.endpoint().name()),
      EventField.of("events", run.item().progress().events()),
      EventField.of("detail", detail)
    };
  }
}
