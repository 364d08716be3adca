package org.sedgeroad.gateway;

import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;

/** Log lines and metrics of one client request. Used on the event loop. */
final class RequestLog {
  private final GatewayDependencies dependencies;
  private final Route route;
  private final ClientRequest request;
  private final String workspace;

  RequestLog(
      GatewayDependencies dependencies, Route route, ClientRequest request, String workspace) {
    this.dependencies = dependencies;
    this.route = route;
    this.request = request;
    this.workspace = workspace;
  }

  /** Records that the request is sent to an endpoint. */
  void placed(ServiceEndpoint endpoint, long objectiveNanos, String lastEventId, int run) {
    long waited = millisSince(request.arrivedNanos());
    dependencies.metrics().recordPlacement(route.name(), waited);
    dependencies.metrics().recordWorkspace(workspace, "sent");
    List<EventField> fields = new ArrayList<>();
    fields.add(EventField.of("endpoint", endpoint.name()));
    fields.add(EventField.of("configuration", dependencies.routes().current().version()));
    fields.add(EventField.of("waited_ms", waited));
    fields.add(EventField.of("objective_in_ms", -millisSince(objectiveNanos)));
    fields.add(
        EventField.of(
            "client_ms", (request.deadlineNanos() - request.arrivedNanos()) / 1_000_000L));
    fields.add(EventField.of("after_event", lastEventId));
    fields.add(EventField.of("run", run));
    if (waited > 0) {
      dependencies
          .dispatcher()
          .share(workspace, route.priority())
          .ifPresent(share -> fields.add(EventField.of("share", share.describe())));
    }
    dependencies
        .log()
        .logRoutine(
            request.id(), LogEvent.REQUEST_PLACED, fields(fields.toArray(EventField[]::new)));
  }

  /** Records that the request ends without a complete answer. */
  void refused(Refusal refusal, int runs, int rejections, boolean begun) {
    dependencies.log().log(
        LogEvent.REQUEST_REFUSED,
        fields(
            EventField.of("reason", refusal.reason()),
            EventField.of("cause", refusal.text()),
            EventField.of("runs", runs),
            EventField.of("rejections", rejections),
            EventField.of("begun", begun)));
    dependencies.metrics().recordRefusal(route.name(), refusal.reason());
    dependencies.metrics().recordWorkspace(workspace, refusal.reason().name());
  }

  /** Records that the request has ended. */
  void ended(String outcome) {
    long took = millisSince(request.arrivedNanos());
    dependencies.metrics().recordEnd(route.name(), took);
    dependencies
        .log()
        .logRoutine(
            request.id(),
            LogEvent.REQUEST_ENDED,
            fields(EventField.of("outcome", outcome), EventField.of("took_ms", took)));
  }

  /** Records that an endpoint's answer is not complete or not valid. */
  void broken(ServiceEndpoint endpoint, String cause, boolean begun, int events) {
    dependencies.log().log(
        LogEvent.ANSWER_BROKEN,
        EventField.of("request", request.id()),
        EventField.of("endpoint", endpoint.name()),
        EventField.of("cause", cause),
        EventField.of("begun", begun),
        EventField.of("events", events),
        EventField.of("prompt", String.join(",", request.promptParts())));
  }

  /** Records that the request is sent to another endpoint. */
  void moved(ServiceEndpoint endpoint, String cause, int runs, int rejections) {
    dependencies.log().log(
        LogEvent.REQUEST_MOVED,
        EventField.of("request", request.id()),
        EventField.of("endpoint", endpoint.name()),
        EventField.of("cause", cause),
        EventField.of("runs", runs),
        EventField.of("rejections", rejections));
  }

  private long millisSince(long nanos) {
    return (dependencies.clock().nanos() - nanos) / 1_000_000L;
  }

  /** Returns fields after those that identify the request, its route and its workspace. */
  private EventField[] fields(EventField... more) {
    List<EventField> fields = new ArrayList<>();
    fields.add(EventField.of("request", request.id()));
    fields.add(EventField.of("route", route.name()));
    if (!workspace.isEmpty()) {
      fields.add(EventField.of("workspace", workspace));
    }
    fields.addAll(List.of(more));
    return fields.toArray(EventField[]::new);
  }
}
