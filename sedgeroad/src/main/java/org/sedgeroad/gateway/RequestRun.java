package org.sedgeroad.gateway;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.sedgeroad.EventLoop;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.placement.LiveDemand;
import org.sedgeroad.placement.RunTiming;
import org.sedgeroad.suspicion.CrashSeries;

/**
 * Processing of one client request from its arrival to its final answer. Used on the event loop.
 *
 * <p>The request waits for a slot and is sent to an endpoint. If that fails, it is sent to another
 * endpoint, provided that it did not run at the first or that its route allows it to run more than
 * once. A resumable stream continues at another endpoint after the last complete event that was
 * forwarded.
 */
public final class RequestRun {
  /**
   * Number of endpoints that may reject one request before it is refused. A plain service has fewer
   * endpoints, so that a request can try all of them. An engine service has more, and a request
   * tries only some of them.
   */
  private static final int MAXIMUM_REJECTIONS = 6;

  /**
   * Time after which the client of a refused request may retry, in milliseconds; a full endpoint
   * has usually finished a request by then.
   */
  private static final long FULL_RETRY_MILLIS = 100;

  /**
   * Remaining time below which no other endpoint is tried, because it could no longer answer, in
   * milliseconds.
   */
  private static final long MINIMUM_REMAINING_MILLIS = 20;

  /**
   * Time without an event after which a stream continues at another endpoint if it may, in
   * milliseconds; half the time after which clients give up a stream. Bytes that complete no event
   * are no progress.
   */
  private static final long STALL_MILLIS = 1_000;

  private final GatewayDependencies dependencies;
  private final Route route;
  private final ClientRequest request;
  private final RequestPermit permit;
  private final ClientAnswer answer;
  private final Consumer<RequestRun> endListener;
  private final RequestLog log;

  /**
   * Monotonic time until which the answer, or a stream's first event, meets the latency objective.
   */
  private final long objectiveNanos;

  private final long deadlineNanos;
  private final Set<String> excluded = new HashSet<>();
  private final SuspicionCheck suspicionCheck;
  private EventLoop.Timeout timeout = EventLoop.Timeout.NONE;

  /** Name of the service that has the request, empty before the first selection. */
  private String service = "";

  private LiveDemand demand;

  /** Workspace for which the slot was taken; a key may be moved to another one afterwards. */
  private String slotWorkspace = "";

  private EndpointAttempt attempt;
  private String lastEventId;
  private EndpointAnswer startedAnswer;

  /** Number of ended attempts in which the request may have run. */
  private int possibleRuns;

  private int rejections;
  private boolean done;

  RequestRun(
      GatewayDependencies dependencies,
      Route route,
      ClientRequest request,
      RequestPermit permit,
      ClientAnswer answer,
      long priorWaitNanos,
      Consumer<RequestRun> endListener) {
    this.dependencies = dependencies;
    this.route = route;
    this.request = request;
    this.permit = permit;
    this.answer = answer;
    this.endListener = endListener;
    this.log = new RequestLog(dependencies, route, request, permit.workspace());
    this.suspicionCheck = new SuspicionCheck(dependencies, request);
    this.lastEventId = request.lastEventId();
    this.objectiveNanos =
        request.arrivedNanos() - priorWaitNanos + route.objectiveMillis() * 1_000_000L;
    long timeoutNanos = request.arrivedNanos() + route.timeoutMillis() * 1_000_000L;
    this.deadlineNanos =
        timeoutNanos - request.deadlineNanos() < 0 ? timeoutNanos : request.deadlineNanos();
  }

  void start() {
    timeout = dependencies.loop().scheduleAt(deadlineNanos, this::onDeadline);
    requestSlot();
  }

  /** Cancels the request after its client has closed the connection; no effect if it has ended. */
  public void clientDisconnected() {
    if (!done) {
      finish("client gone");
      stopWork();
    }
  }

  /** Returns whether an endpoint has the request now. */
  boolean isAtEndpoint() {
    return attempt != null;
  }

  /** Returns whether the request has not run and no endpoint has it now. */
  private boolean isUnsent() {
    return possibleRuns == 0 && !isAtEndpoint();
  }

  /** Ends the request before the instance closes its connection; no effect if it has ended. */
  void endBeforeStop() {
    if (!done) {
      fail(
          Refusal.of(
              isUnsent() ? Refusal.Reason.NOT_RUN : Refusal.Reason.UNKNOWN,
              "the instance is stopping"));
    }
  }

  /** Waits for a slot, unless requests like this one crash endpoints. */
  private void requestSlot() {
    suspicionCheck.decide(this::submitDemand, this::refuseQuarantined);
  }

  private void refuseQuarantined(Refusal refusal) {
    Refusal reported =
        possibleRuns == 0 ? refusal : Refusal.of(Refusal.Reason.UNKNOWN, refusal.text());
    dependencies.metrics().recordQuarantineRefusal(route.name(), reported.reason());
    fail(reported);
  }

  private void submitDemand() {
    if (!hasEndpoint(service)) {
      // The other services of a split route may still have endpoints.
      service = route.serviceFor(ThreadLocalRandom.current().nextDouble(), this::hasEndpoint);
    }
    if (!hasEndpoint(service)) {
      refuseForLackOfEndpoints();
      return;
    }
    slotWorkspace = permit.workspace();
    demand =
        LiveDemand.of(
                service,
                slotWorkspace,
                permit.priority().orElse(route.priority()),
                objectiveNanos,
                deadlineNanos,
                excluded,
                this::send)
            .withPrompt(route.promptOf(request.prompt()));
    Optional<Refusal> refusal = dependencies.dispatcher().refusal(demand);
    if (refusal.isPresent()) {
      failBeforeSend(refusal.get());
    } else {
      dependencies.dispatcher().submit(demand);
    }
  }

  private boolean hasEndpoint(String name) {
    return dependencies.dispatcher().hasEndpoint(name, excluded);
  }

  private void refuseForLackOfEndpoints() {
    long retryAt = dependencies.clock().deadlineAfterMillis(FULL_RETRY_MILLIS);
    if (possibleRuns > 0) {
      fail(Refusal.of(Refusal.Reason.UNKNOWN, "no other endpoint is left"));
    } else {
      fail(new Refusal(Refusal.Reason.NOT_RUN, "no endpoint of " + service + " is left", retryAt));
    }
  }

  private void send(ServiceEndpoint endpoint) {
    demand = null;
    if (!suspicionCheck.maySend()) {
      // The suspicion arose while the request waited for a slot.
      dependencies.loop().execute(() -> giveSlotBack(endpoint, this::requestSlot));
      return;
    }
    Optional<Refusal> refusal = permit.beforeSend();
    if (refusal.isPresent()) {
      dependencies
          .loop()
          .execute(() -> giveSlotBack(endpoint, () -> failBeforeSend(refusal.get())));
      return;
    }
    log.placed(endpoint, objectiveNanos, lastEventId, possibleRuns + 1);
    attempt = new EndpointAttempt(endpoint);
    attempt.start(
        new EndpointCall(
            endpoint,
            request.id(),
            request.method(),
            request.target(),
            request.headers(),
            request.body(),
            permit.hidesCredentials(),
            permit.workspace(),
            lastEventId,
            deadlineNanos));
  }

  private void giveSlotBack(ServiceEndpoint endpoint, Runnable next) {
    releaseSlot(endpoint);
    next.run();
  }

  private void releaseSlot(ServiceEndpoint endpoint) {
    dependencies.dispatcher().releaseLive(endpoint.name(), slotWorkspace);
  }

  /** Ends a request that must not be sent again. */
  private void failBeforeSend(Refusal refusal) {
    if (!done) {
      fail(possibleRuns == 0 ? refusal : Refusal.of(Refusal.Reason.UNKNOWN, refusal.text()));
    }
  }

  private void onDeadline() {
    if (done) {
      return;
    }
    fail(
        isUnsent()
            ? Refusal.of(Refusal.Reason.NOT_RUN, "no place was free before the deadline")
            : Refusal.of(Refusal.Reason.TIMED_OUT, "the deadline passed"));
  }

  /** Ends the request without a complete answer: refuses it, or aborts the answer if it began. */
  private void fail(Refusal refusal) {
    finish(refusal.text());
    stopWork();
    log.refused(refusal, possibleRuns, rejections, startedAnswer != null);
    if (startedAnswer == null) {
      answer.refuse(refusal);
    } else {
      answer.abort();
    }
  }

  private void finish(String outcome) {
    done = true;
    endListener.accept(this);
    timeout.close();
    suspicionCheck.close();
    log.ended(outcome);
  }

  private void stopWork() {
    if (demand != null) {
      dependencies.dispatcher().cancel(demand);
      demand = null;
    }
    if (attempt != null) {
      attempt.stop();
      attempt = null;
    }
  }

  private boolean hasTime() {
    return deadlineNanos - dependencies.clock().nanos() > MINIMUM_REMAINING_MILLIS * 1_000_000L;
  }

  /** One attempt to run the request at one endpoint. */
  private final class EndpointAttempt implements EndpointAnswerListener {
    private final ServiceEndpoint endpoint;
    private final boolean isTrial = suspicionCheck.isTrial();
    private final EventStreamParser eventParser = new EventStreamParser();
    private EndpointExchange exchange;
    private EndpointAnswer head;
    private EventLoop.Timeout progressCheck = EventLoop.Timeout.NONE;
    private final StallCheck stallCheck = new StallCheck(dependencies.clock());
    private final RunTiming timing;

    /** Number of complete events that were received in this attempt. */
    private int eventCount;

    /** Series of the request's suspect keys when the attempt began. */
    private final Map<String, CrashSeries> seriesAtStart = suspicionCheck.beginAttempt();

    private final AnswerBuffer buffer = new AnswerBuffer(dependencies.answerMemory());
    private boolean ended;

    EndpointAttempt(ServiceEndpoint endpoint) {
      this.endpoint = endpoint;
      PromptPrefix prompt = route.promptOf(request.prompt());
      this.timing = dependencies.dispatcher().prompts().begin(endpoint, prompt);
    }

    void start(EndpointCall call) {
      exchange = dependencies.endpointClient().start(call, this);
      if (route.kind() == RouteKind.STREAMING) {
        scheduleProgressCheck(timing.deadlineNanos(STALL_MILLIS));
      }
    }

    private void scheduleProgressCheck(long nanos) {
      progressCheck = dependencies.loop().scheduleAt(nanos, this::checkProgress);
    }

    /**
     * Moves a stream whose endpoint delivers nothing more, for example because it has lost power. A
     * stream that can't continue elsewhere is left alone: it may be slow.
     */
    private void checkProgress() {
      if (ended || done) {
        return;
      }
      OptionalLong nextNanos = stallCheck.nextCheckNanos(timing.deadlineNanos(STALL_MILLIS));
      boolean movable = startedAnswer == null || route.isResumableStream();
      if (nextNanos.isPresent()) {
        scheduleProgressCheck(nextNanos.getAsLong());
      } else if (movable && canRunElsewhere()) {
        end();
        exchange.close();
        dependencies
            .dispatcher()
            .health()
            .recordUnreachable(endpoint.name(), dependencies.clock().nanos());
        onBrokenAnswer("no event for " + STALL_MILLIS + " ms");
      }
    }

    private void end() {
      ended = true;
      buffer.close();
    }

    /** Cancels the work at the endpoint. */
    void stop() {
      progressCheck.close();
      if (!ended) {
        end();
        exchange.close();
        releaseSlot(endpoint);
      }
    }

    /** Handles the status and headers of an answer; {@link #onBytes} receives its body. */
    @Override
    public void onAnswer(EndpointAnswer received) {
      if (ended) {
        return;
      }
      if (received.notRun()) {
        onRejection(received.status());
      } else if (!received.genuine()) {
        end();
        exchange.close();
        onBrokenAnswer("the answer is not signed or belongs to another request");
      } else if (startedAnswer != null && !received.canContinue(startedAnswer)) {
        end();
        exchange.close();
        onBrokenAnswer("an answer " + received.status() + " does not continue the stream");
      } else {
        head = received;
        if (isStream() && startedAnswer == null) {
          startedAnswer = received;
          answer.begin(received);
        }
      }
    }

    @Override
    public boolean needsBody() {
      return !ended;
    }

    private boolean isStream() {
      return route.kind() == RouteKind.STREAMING && head.isSuccess();
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
      if (ended) {
        return;
      }
      Optional<String> refusal =
          isStream() ? buffer.keepStream(eventParser, answer.unsentBytes()) : buffer.add(bytes);
      if (refusal.isPresent()) {
        abandon(refusal.get());
      } else if (!isStream()) {
        return;
      } else if (route.isResumableStream()) {
        // Only complete events are forwarded, so that another endpoint can continue after the last.
        for (EventStreamParser.Event event : eventParser.accept(bytes)) {
          if (!event.mayFollow(lastEventId)) {
            abandon("an event is repeated");
            return;
          }
          countEvents(1);
          lastEventId = event.id().isEmpty() ? lastEventId : event.id();
          answer.send(ByteBuffer.wrap(event.bytes()));
        }
      } else {
        // The events are parsed only to recognise an answer that ends inside an event.
        countEvents(eventParser.accept(bytes.duplicate()).size());
        answer.send(bytes);
      }
    }

    /** Closes the connection of an answer that is not valid. */
    private void abandon(String cause) {
      // What refers to this attempt may live longer than the reservation of its memory.
      eventParser.discard();
      end();
      exchange.close();
      dependencies
          .dispatcher()
          .health()
          .recordBrokenAnswer(endpoint.name(), dependencies.clock().nanos());
      onBrokenAnswer(cause);
    }

    private void countEvents(int events) {
      if (eventCount == 0 && events > 0) {
        suspicionCheck.recordAnswer();
      }
      eventCount += events;
      timing.received(events);
    }

    /** Records a crash of the endpoint if the connection broke before it answered. */
    private void recordCrash() {
      if (eventCount == 0 && hasTime()) {
        suspicionCheck.recordCrash(endpoint.name(), seriesAtStart);
      }
    }

    @Override
    public void onEnd() {
      if (ended) {
        return;
      }
      byte[] body = buffer.takeBody();
      end();
      boolean insideEvent = eventParser.takeIncompleteEvent().length > 0;
      // A run that resumes after the last event has no event left to send.
      boolean beforeFirstEvent = !eventParser.hasEvent() && lastEventId.isEmpty();
      if (isStream() && (insideEvent || beforeFirstEvent)) {
        dependencies
            .dispatcher()
            .health()
            .recordBrokenAnswer(endpoint.name(), dependencies.clock().nanos());
        recordCrash();
        onBrokenAnswer(
            insideEvent
                ? "the answer ended inside an event"
                : "the answer ended before its first event");
        return;
      }
      attempt = null;
      dependencies.dispatcher().health().recordSuccess(endpoint.name());
      if (head.isSuccess()) {
        suspicionCheck.recordAnswer();
        timing.answered();
      }
      if (isStream()) {
        finish("complete");
        answer.end();
      } else if (!head.isSuccess() && canRunElsewhere()) {
        releaseSlot(endpoint);
        runElsewhere("endpoint answered " + head.status());
        return;
      } else {
        finish("answered " + head.status());
        answer.sendComplete(head, body);
      }
      releaseSlot(endpoint);
    }

    @Override
    public void onFailure(HttpFailure failure) {
      if (ended) {
        return;
      }
      end();
      if (failure instanceof HttpFailure.NotSent) {
        dependencies
            .dispatcher()
            .health()
            .recordUnreachable(endpoint.name(), dependencies.clock().nanos());
        permit.notSent();
        releaseSlot(endpoint);
        attempt = null;
        if (isTrial) {
          suspicionCheck.repeatTrial();
        }
        handleRejection("not reached: " + failure.reason());
      } else {
        dependencies
            .dispatcher()
            .health()
            .recordBrokenAnswer(endpoint.name(), dependencies.clock().nanos());
        recordCrash();
        onBrokenAnswer(failure.reason());
      }
    }

    private void onRejection(int status) {
      end();
      releaseSlot(endpoint);
      attempt = null;
      handleRejection("rejected with " + status);
    }

    private void handleRejection(String cause) {
      rejections++;
      excluded.add(endpoint.name());
      if (done) {
        return;
      }
      if (rejections >= MAXIMUM_REJECTIONS && possibleRuns == 0) {
        long retryAt = dependencies.clock().deadlineAfterMillis(FULL_RETRY_MILLIS);
        fail(new Refusal(Refusal.Reason.NOT_RUN, "endpoints are full; last " + cause, retryAt));
      } else if (!hasTime()) {
        fail(
            Refusal.of(
                possibleRuns == 0 ? Refusal.Reason.NOT_RUN : Refusal.Reason.TIMED_OUT,
                "no time is left; last " + cause));
      } else {
        log.moved(endpoint, cause, possibleRuns, rejections);
        requestSlot();
      }
    }

    /** Handles a broken answer. The request may have run at this endpoint. */
    private void onBrokenAnswer(String cause) {
      log.broken(endpoint, cause, head != null, eventCount);
      releaseSlot(endpoint);
      attempt = null;
      if (done) {
        return;
      }
      if (canRunElsewhere()) {
        runElsewhere(cause);
      } else {
        possibleRuns++;
        fail(Refusal.of(Refusal.Reason.UNKNOWN, cause));
      }
    }

    private boolean canRunElsewhere() {
      return route.isRepeatable() && possibleRuns + 1 < route.maximumEndpoints() && hasTime();
    }

    private void runElsewhere(String cause) {
      possibleRuns++;
      excluded.add(endpoint.name());
      log.moved(endpoint, cause, possibleRuns, rejections);
      requestSlot();
    }
  }
}
