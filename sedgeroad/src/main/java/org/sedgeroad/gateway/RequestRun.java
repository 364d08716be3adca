package org.sedgeroad.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;
import org.sedgeroad.EventLoop;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.placement.LiveDemand;
import org.sedgeroad.placement.WorkClass;

/**
 * One request of a client, from its arrival to its final answer. Used on the event loop.
 *
 * <p>It waits for a place, is sent, and is sent elsewhere if it has not run or may run again. A
 * resumable stream goes on at another endpoint after the last event that was forwarded whole.
 */
public final class RequestRun {
  /**
   * Endpoints that may turn one request away before it is refused; more than the workers of a plain
   * service, fewer than those of an engine service.
   */
  private static final int MOST_REJECTIONS = 6;

  /** Time in which an endpoint that was full has usually finished something, in milliseconds. */
  private static final long FULL_RETRY_MILLIS = 100;

  /** Time left below which another endpoint could not answer any more, in milliseconds. */
  private static final long LEAST_TIME_MILLIS = 20;

  private final GatewayParts parts;
  private final Route route;
  private final String service;
  private final ClientRequest request;
  private final ClientAnswer answer;
  private final long objectiveNanos;
  private final long deadlineNanos;
  private final Set<String> excluded = new HashSet<>();
  private EventLoop.Timeout timeout = EventLoop.Timeout.NONE;
  private LiveDemand demand;
  private EndpointAttempt attempt;
  private String lastEventId;
  private EndpointAnswer begun;
  private int runs;
  private int rejections;
  private boolean done;

  RequestRun(
      GatewayParts parts,
      Route route,
      String service,
      ClientRequest request,
      ClientAnswer answer,
      long waitedBeforeNanos) {
    this.parts = parts;
    this.route = route;
    this.service = service;
    this.request = request;
    this.answer = answer;
    this.lastEventId = request.lastEventId();
    this.objectiveNanos =
        request.arrivedNanos() - waitedBeforeNanos + route.objectiveMillis() * 1_000_000L;
    long timeoutNanos = request.arrivedNanos() + route.timeoutMillis() * 1_000_000L;
    this.deadlineNanos =
        timeoutNanos - request.deadlineNanos() < 0 ? timeoutNanos : request.deadlineNanos();
  }

  void start() {
    timeout = parts.loop().at(deadlineNanos, this::deadlinePassed);
    seekPlace();
  }

  /** Stops the work for a client that has closed its connection. */
  public void clientGone() {
    if (!done) {
      finish("client gone");
      stopWork();
    }
  }

  // -----------------------------------------------------------------------

  private void seekPlace() {
    if (!parts.dispatcher().hasEndpoint(service, excluded)) {
      refuseForLackOfEndpoints();
      return;
    }
    demand =
        LiveDemand.of(
            service, route.priority(), objectiveNanos, deadlineNanos, excluded, this::send);
    parts.dispatcher().submit(demand);
  }

  private void refuseForLackOfEndpoints() {
    long retryAt = parts.clock().deadlineAfterMillis(FULL_RETRY_MILLIS);
    if (runs > 0) {
      fail(Refusal.of(Refusal.Reason.UNKNOWN, "no other endpoint is left"));
    } else {
      fail(new Refusal(Refusal.Reason.NOT_RUN, "no endpoint of " + service + " is left", retryAt));
    }
  }

  private void send(ServiceEndpoint endpoint) {
    demand = null;
    long waited = (parts.clock().nanos() - request.arrivedNanos()) / 1_000_000L;
    parts.metrics().placed(route.name(), waited);
    parts
        .log()
        .logRoutine(
            request.id(),
            LogEvent.REQUEST_PLACED,
            EventField.of("request", request.id()),
            EventField.of("route", route.name()),
            EventField.of("endpoint", endpoint.name()),
            EventField.of("configuration", parts.routes().current().version()),
            EventField.of("waited_ms", waited),
            EventField.of("objective_in_ms", (objectiveNanos - parts.clock().nanos()) / 1_000_000L),
            EventField.of(
                "client_ms", (request.deadlineNanos() - request.arrivedNanos()) / 1_000_000L),
            EventField.of("after_event", lastEventId),
            EventField.of("run", runs + 1));
    attempt = new EndpointAttempt(endpoint);
    attempt.start(
        new EndpointCall(
            endpoint,
            request.id(),
            request.method(),
            request.target(),
            request.headers(),
            request.body(),
            lastEventId,
            deadlineNanos));
  }

  private void deadlinePassed() {
    if (done) {
      return;
    }
    boolean neverSent = runs == 0 && attempt == null;
    fail(
        neverSent
            ? Refusal.of(Refusal.Reason.NOT_RUN, "no place was free before the deadline")
            : Refusal.of(Refusal.Reason.TIMED_OUT, "the deadline passed"));
  }

  /** Ends the request without an answer of an endpoint. */
  private void fail(Refusal refusal) {
    finish(refusal.text());
    stopWork();
    parts.log().log(
        LogEvent.REQUEST_REFUSED,
        EventField.of("request", request.id()),
        EventField.of("route", route.name()),
        EventField.of("reason", refusal.reason()),
        EventField.of("cause", refusal.text()),
        EventField.of("runs", runs),
        EventField.of("rejections", rejections),
        EventField.of("begun", begun != null));
    parts.metrics().refused(route.name(), refusal.reason());
    if (begun == null) {
      answer.refuse(refusal);
    } else {
      answer.abort();
    }
  }

  private void finish(String outcome) {
    done = true;
    timeout.close();
    long took = (parts.clock().nanos() - request.arrivedNanos()) / 1_000_000L;
    parts.metrics().ended(route.name(), took);
    parts
        .log()
        .logRoutine(
            request.id(),
            LogEvent.REQUEST_ENDED,
            EventField.of("request", request.id()),
            EventField.of("route", route.name()),
            EventField.of("outcome", outcome),
            EventField.of("took_ms", took));
  }

  private void stopWork() {
    if (demand != null) {
      parts.dispatcher().cancel(demand);
      demand = null;
    }
    if (attempt != null) {
      attempt.stop();
      attempt = null;
    }
  }

  private boolean hasTime() {
    return deadlineNanos - parts.clock().nanos() > LEAST_TIME_MILLIS * 1_000_000L;
  }

  // -----------------------------------------------------------------------

  /** One sending to one endpoint. */
  private final class EndpointAttempt implements EndpointListener {
    private final ServiceEndpoint endpoint;
    private final EventStream events = new EventStream();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private EndpointExchange exchange;
    private EndpointAnswer head;
    private boolean over;

    EndpointAttempt(ServiceEndpoint endpoint) {
      this.endpoint = endpoint;
    }

    void start(EndpointCall call) {
      exchange = parts.caller().start(call, this);
    }

    /** Cancels the work at the endpoint. */
    void stop() {
      if (!over) {
        over = true;
        exchange.close();
        parts.dispatcher().release(endpoint.name(), WorkClass.LIVE);
      }
    }

    @Override
    public void onAnswer(EndpointAnswer received) {
      if (over) {
        return;
      }
      if (received.notRun()) {
        rejected(received.status());
      } else if (!received.genuine()) {
        over = true;
        exchange.close();
        broken("the answer is not signed or belongs to another request");
      } else if (begun != null && !received.isSuccess()) {
        over = true;
        exchange.close();
        broken("resumption was answered " + received.status());
      } else {
        head = received;
        if (isStream() && begun == null) {
          begun = received;
          answer.begin(received);
        }
      }
    }

    private boolean isStream() {
      return route.kind() == RouteKind.STREAMING && head.isSuccess();
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
      if (over) {
        return;
      }
      if (!isStream()) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        body.write(copy, 0, copy.length);
      } else if (route.isResumableStream()) {
        // Only whole events go out, so that another endpoint can go on after the last one.
        for (EventStream.Event event : events.accept(bytes)) {
          lastEventId = event.id().isEmpty() ? lastEventId : event.id();
          answer.send(ByteBuffer.wrap(event.bytes()));
        }
      } else {
        answer.send(bytes);
      }
    }

    @Override
    public void onEnd() {
      if (over) {
        return;
      }
      over = true;
      attempt = null;
      parts.dispatcher().health().succeeded(endpoint.name());
      if (isStream()) {
        byte[] rest = events.takeRest();
        if (rest.length > 0) {
          answer.send(ByteBuffer.wrap(rest));
        }
        finish("complete");
        answer.end();
      } else if (!head.isSuccess() && canRunElsewhere()) {
        parts.dispatcher().release(endpoint.name(), WorkClass.LIVE);
        elsewhere("endpoint answered " + head.status());
        return;
      } else {
        finish("answered " + head.status());
        answer.whole(head, body.toByteArray());
      }
      parts.dispatcher().release(endpoint.name(), WorkClass.LIVE);
    }

    @Override
    public void onFailure(HttpFailure failure) {
      if (over) {
        return;
      }
      over = true;
      if (failure instanceof HttpFailure.NotSent) {
        parts.dispatcher().health().unreachable(endpoint.name(), parts.clock().nanos());
        parts.dispatcher().release(endpoint.name(), WorkClass.LIVE);
        attempt = null;
        rejectedBy("not reached: " + failure.reason());
      } else {
        parts.dispatcher().health().broken(endpoint.name(), parts.clock().nanos());
        broken(failure.reason());
      }
    }

    private void rejected(int status) {
      // The rest of the answer is read and dropped, so that the connection can be used again.
      over = true;
      parts.dispatcher().release(endpoint.name(), WorkClass.LIVE);
      attempt = null;
      rejectedBy("rejected with " + status);
    }

    private void rejectedBy(String cause) {
      rejections++;
      excluded.add(endpoint.name());
      if (done) {
        return;
      }
      if (rejections >= MOST_REJECTIONS && runs == 0) {
        long retryAt = parts.clock().deadlineAfterMillis(FULL_RETRY_MILLIS);
        fail(new Refusal(Refusal.Reason.NOT_RUN, "endpoints are full; last " + cause, retryAt));
      } else if (!hasTime()) {
        fail(
            Refusal.of(
                runs == 0 ? Refusal.Reason.NOT_RUN : Refusal.Reason.TIMED_OUT,
                "no time is left; last " + cause));
      } else {
        logMove(cause);
        seekPlace();
      }
    }

    /** The request may have run here. */
    private void broken(String cause) {
      parts.dispatcher().release(endpoint.name(), WorkClass.LIVE);
      attempt = null;
      if (done) {
        return;
      }
      if (canRunElsewhere()) {
        elsewhere(cause);
      } else {
        runs++;
        fail(Refusal.of(Refusal.Reason.UNKNOWN, cause));
      }
    }

    private boolean canRunElsewhere() {
      return route.isRepeatable() && runs + 1 < route.maximumEndpoints() && hasTime();
    }

    private void elsewhere(String cause) {
      runs++;
      excluded.add(endpoint.name());
      logMove(cause);
      seekPlace();
    }

    private void logMove(String cause) {
      parts.log().log(
          LogEvent.REQUEST_MOVED,
          EventField.of("request", request.id()),
          EventField.of("endpoint", endpoint.name()),
          EventField.of("cause", cause),
          EventField.of("runs", runs),
          EventField.of("rejections", rejections));
    }
  }
}
