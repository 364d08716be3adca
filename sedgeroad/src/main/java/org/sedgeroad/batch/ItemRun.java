package org.sedgeroad.batch;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalLong;
import org.sedgeroad.EventLoop;
import org.sedgeroad.gateway.EndpointAnswer;
import org.sedgeroad.gateway.EndpointAnswerListener;
import org.sedgeroad.gateway.EndpointCall;
import org.sedgeroad.gateway.EndpointExchange;
import org.sedgeroad.gateway.EventStreamParser;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.gateway.StallCheck;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.MemoryBudget;
import org.sedgeroad.placement.RunTiming;

/** One attempt to run an item at an endpoint. Must be used on the event loop. */
final class ItemRun implements EndpointAnswerListener {

  /** Outcome of a run. */
  enum Outcome {
    /** The complete output was received. */
    COMPLETED,
    /** The endpoint reported that the item can never succeed. */
    IMPOSSIBLE,
    /** The endpoint answered with status 500. */
    FAILED,
    /** The output is larger than an object of the store can be. */
    TOO_LARGE,
    /** The endpoint did not start the item. */
    NOT_RUN,
    /**
     * The item may have started, and the connection failed or the answer was none of those above.
     */
    BROKEN
  }

  /** Receives the outcome of a run unless the run was stopped. */
  interface EndListener {
    void ended(ItemRun run, Outcome outcome, String cause);
  }

  /** Status of an endpoint that is not the named one, which has ended. */
  private static final int MISDIRECTED = 421;

  private static final int UNPROCESSABLE = 422;
  private static final int INTERNAL_SERVER_ERROR = 500;

  /**
   * Time within which a run must deliver its first event, in milliseconds; an item that is queued
   * inside an endpoint waits there for running items.
   */
  private static final long FIRST_EVENT_MILLIS = 4_000;

  /** Time after an event within which the next must follow, in milliseconds. */
  private static final long NEXT_EVENT_MILLIS = 2_000;

  private final BatchDependencies dependencies;
  private final OwnedItem item;
  private final ServiceEndpoint endpoint;
  private final EndListener listener;
  private final int eventsBefore;
  private final long startedNanos;
  private final RunTiming timing;
  private final EventStreamParser eventParser = new EventStreamParser();
  private EndpointExchange exchange;
  private EventLoop.Timeout progressCheck = EventLoop.Timeout.NONE;
  private long progressDeadlineNanos;
  private final StallCheck stallCheck;
  private final MemoryBudget.Reservation memory;
  private boolean finished;

  /** Whether the endpoint reported that the item can never succeed. */
  private boolean impossible;

  ItemRun(
      BatchDependencies dependencies,
      OwnedItem item,
      ServiceEndpoint endpoint,
      PromptPrefix prompt,
      EndListener listener) {
    this.dependencies = dependencies;
    this.item = item;
    this.endpoint = endpoint;
    this.listener = listener;
    this.stallCheck = new StallCheck(dependencies.clock());
    this.memory = dependencies.answerMemory().reserve();
    this.eventsBefore = item.progress().eventCount();
    this.startedNanos = dependencies.clock().nanos();
    this.timing = dependencies.dispatcher().prompts().begin(endpoint, prompt);
  }

  OwnedItem item() {
    return item;
  }

  ServiceEndpoint endpoint() {
    return endpoint;
  }

  /** Returns the number of events received during this run. */
  int events() {
    return item.progress().eventCount() - eventsBefore;
  }

  /** Returns the monotonic time at which this run was created, in nanoseconds. */
  long startedNanos() {
    return startedNanos;
  }

  void start(EndpointCall call) {
    progressDeadlineNanos = dependencies.clock().deadlineAfterMillis(FIRST_EVENT_MILLIS);
    exchange = dependencies.endpointClient().start(call, this);
    scheduleProgressCheck(progressDeadlineNanos);
  }

  private void scheduleProgressCheck(long nanos) {
    progressCheck = dependencies.loop().scheduleAt(nanos, this::checkProgress);
  }

  /** Ends a run whose endpoint delivers no more events, so that the item continues elsewhere. */
  private void checkProgress() {
    if (finished) {
      return;
    }
    OptionalLong nextNanos = stallCheck.nextCheckNanos(progressDeadlineNanos);
    if (nextNanos.isPresent()) {
      scheduleProgressCheck(nextNanos.getAsLong());
      return;
    }
    recordUnreachable();
    abort("no event in time");
  }

  private void recordUnreachable() {
    dependencies
        .dispatcher()
        .health()
        .recordUnreachable(endpoint.name(), dependencies.clock().nanos());
  }

  private void recordBrokenAnswer() {
    dependencies
        .dispatcher()
        .health()
        .recordBrokenAnswer(endpoint.name(), dependencies.clock().nanos());
  }

  /** Cancels the run at the endpoint without notifying the listener. */
  void stop() {
    progressCheck.close();
    memory.close();
    if (!finished) {
      finished = true;
      exchange.close();
    }
  }

  @Override
  public void onAnswer(EndpointAnswer answer) {
    if (finished) {
      return;
    }
    if (answer.notRun()) {
      if (answer.status() == MISDIRECTED) {
        recordUnreachable();
      }
      end(Outcome.NOT_RUN, "rejected with " + answer.status());
    } else if (!answer.genuine()) {
      abort("the answer is not signed or belongs to another request");
    } else if (answer.status() == UNPROCESSABLE) {
      impossible = true;
      end(Outcome.IMPOSSIBLE, "answered " + answer.status());
    } else if (answer.status() == INTERNAL_SERVER_ERROR) {
      end(Outcome.FAILED, "answered " + answer.status());
    } else if (!answer.isSuccess()) {
      end(Outcome.BROKEN, "answered " + answer.status());
    } else if (!item.progress().canContinue(answer)) {
      abort("the answer has another type than the one before");
    }
  }

  @Override
  public boolean needsBody() {
    return !finished;
  }

  @Override
  public void onBytes(ByteBuffer bytes) {
    if (!finished) {
      List<EventStreamParser.Event> events = eventParser.accept(bytes);
      timing.received(events.size());
      if (!events.isEmpty()) {
        progressDeadlineNanos = dependencies.clock().deadlineAfterMillis(NEXT_EVENT_MILLIS);
      }
      for (EventStreamParser.Event event : events) {
        if (!event.mayFollow(item.progress().lastEventId())) {
          abort("an event is repeated");
          return;
        }
        item.progress().add(event);
        if (item.progress().outputBytes() > dependencies.store().maximumOutputBytes()) {
          finished = true;
          exchange.close();
          item.progress().clear();
          recordBrokenAnswer();
          end(Outcome.TOO_LARGE, "the output is larger than an object of the store");
          return;
        }
      }
      if (eventParser.isTooLong()) {
        abort("an event has no end");
      } else if (!memory.resize(eventParser.heldBytes() + item.progress().outputBytes())) {
        abort("the answers in progress take too much memory");
      }
    }
  }

  /** Returns whether the item is done; it is sent again, under the same id, if it is not. */
  @Override
  public boolean isFinal() {
    boolean whole = !eventParser.isInsideEvent() && item.progress().eventCount() > 0;
    return impossible || (!finished && whole);
  }

  @Override
  public void onEnd() {
    if (!finished) {
      if (eventParser.takeIncompleteEvent().length > 0) {
        end(Outcome.BROKEN, "the answer ended inside an event");
      } else if (item.progress().eventCount() == 0) {
        end(Outcome.BROKEN, "the answer ended before its first event");
      } else {
        end(Outcome.COMPLETED, "complete");
      }
    }
  }

  @Override
  public void onFailure(HttpFailure failure) {
    if (!finished) {
      if (failure instanceof HttpFailure.NotSent) {
        recordUnreachable();
        end(Outcome.NOT_RUN, failure.reason());
      } else {
        recordBrokenAnswer();
        end(Outcome.BROKEN, failure.reason());
      }
    }
  }

  /** Ends the run as broken and closes its connection. */
  private void abort(String cause) {
    // Set first, because closing the exchange reports a failure.
    finished = true;
    // What refers to this run may live longer than the reservation of its memory.
    eventParser.discard();
    exchange.close();
    end(Outcome.BROKEN, cause);
  }

  private void end(Outcome outcome, String cause) {
    finished = true;
    memory.close();
    progressCheck.close();
    listener.ended(this, outcome, cause);
  }
}
