package org.sedgeroad.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sedgeroad.event.LogEvent;

/**
 * The events that explain the course of a request, item or job, in order of time.
 *
 * @param id id of the request, item or job
 * @param events events of the id and related events, sorted by time; events of one instance with
 *     the same time are in the order of its log
 */
public record Explanation(String id, List<ExplainedEvent> events) {
  /**
   * Time before the first event of the id from which related events are included. It is needed
   * because the failure of a dependency is logged only once, possibly before the request arrived.
   */
  private static final Duration MARGIN_BEFORE = Duration.ofSeconds(2);

  /** Time after the last event of the id up to which related events are included. */
  private static final Duration MARGIN_AFTER = Duration.ofSeconds(1);

  /** Numbers of the events that affect every request at an instance. */
  private static final Set<Integer> INSTANCE_EVENTS =
      Set.of(
          LogEvent.INSTANCE_STARTED.number(),
          LogEvent.INSTANCE_STOPPING.number(),
          LogEvent.INSTANCE_STOPPED.number(),
          LogEvent.LINES_DROPPED.number(),
          LogEvent.STORE_UNAVAILABLE.number(),
          LogEvent.STORE_AVAILABLE.number(),
          LogEvent.WATCH_RESTARTED.number(),
          LogEvent.ROUTES_APPLIED.number(),
          LogEvent.STOP_DEADLINE_PASSED.number());

  /** Copies the list. */
  public Explanation {
    events = List.copyOf(events);
  }

  /**
   * Selects the events that explain an id; none if no event is about the id.
   *
   * @param id id of a request, item or job
   * @param log all events of all instances; those of one instance in the order of its log
   */
  public static Explanation of(String id, List<LoggedEvent> log) {
    Set<String> jobs = new HashSet<>();
    log.stream()
        .filter(event -> event.field("request").equals(id))
        .forEach(event -> jobs.add(event.field("job")));
    jobs.remove("");
    List<LoggedEvent> ownEvents = log.stream().filter(event -> isAbout(event, id, jobs)).toList();
    if (ownEvents.isEmpty()) {
      return new Explanation(id, List.of());
    }
    Instant firstTime =
        ownEvents.stream().map(LoggedEvent::time).min(Comparator.naturalOrder()).orElseThrow();
    Instant lastTime =
        ownEvents.stream().map(LoggedEvent::time).max(Comparator.naturalOrder()).orElseThrow();
    Set<String> instances = new HashSet<>();
    Set<String> endpoints = new HashSet<>();
    for (LoggedEvent event : ownEvents) {
      instances.add(event.instance());
      endpoints.add(event.field("endpoint"));
    }
    endpoints.remove("");
    List<ExplainedEvent> events = new ArrayList<>();
    for (LoggedEvent event : log) {
      boolean inWindow =
          !event.time().isBefore(firstTime.minus(MARGIN_BEFORE))
              && !event.time().isAfter(lastTime.plus(MARGIN_AFTER));
      if (isAbout(event, id, jobs)) {
        events.add(new ExplainedEvent(event, ExplainedEvent.Relation.OWN));
      } else if (inWindow
          && INSTANCE_EVENTS.contains(event.number())
          && instances.contains(event.instance())) {
        events.add(new ExplainedEvent(event, ExplainedEvent.Relation.INSTANCE));
      } else if (inWindow && isProblemAt(endpoints, event)) {
        events.add(new ExplainedEvent(event, ExplainedEvent.Relation.ENDPOINT));
      }
    }
    // The sort is stable: lines of one instance with the same time keep their order.
    events.sort(Comparator.comparing(event -> event.event().time()));
    return new Explanation(id, events);
  }

  /**
   * Returns whether an event is about the request, item or job with an id. Events that are about
   * the item's whole job are included.
   *
   * @param jobs ids of the jobs that have an item with the id, empty if it is not the id of an item
   */
  private static boolean isAbout(LoggedEvent event, String id, Set<String> jobs) {
    String job = event.field("job");
    return event.field("request").equals(id)
        || job.equals(id)
        || (event.field("request").isEmpty() && jobs.contains(job));
  }

  /** Returns whether an event reports a change of one of the endpoints, or a failed run at one. */
  private static boolean isProblemAt(Set<String> endpoints, LoggedEvent event) {
    boolean problem =
        event.number() == LogEvent.ENDPOINT_CHANGED.number()
            || event.number() == LogEvent.REQUEST_MOVED.number()
            || (event.number() == LogEvent.ITEM_RUN_ENDED.number()
                && event.field("detail").startsWith("BROKEN"));
    return problem && endpoints.contains(event.field("endpoint"));
  }
}
