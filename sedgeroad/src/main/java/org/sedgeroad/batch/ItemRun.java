package org.sedgeroad.batch;

import java.nio.ByteBuffer;
import org.sedgeroad.gateway.EndpointAnswer;
import org.sedgeroad.gateway.EndpointAnswerListener;
import org.sedgeroad.gateway.EndpointCall;
import org.sedgeroad.gateway.EndpointExchange;
import org.sedgeroad.gateway.EventStreamParser;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.http.HttpFailure;

/** One attempt to run an item at an endpoint. Must be used on the event loop. */
final class ItemRun implements EndpointAnswerListener {

  /** Outcome of a run. */
  enum Outcome {
    /** The complete output was received. */
    COMPLETED,
    /** The endpoint reported that the item can never succeed. */
    IMPOSSIBLE,
    /** The endpoint reported that the run failed. */
    FAILED,
    /** The endpoint did not start the item. */
    NOT_RUN,
    /** The connection failed, or the answer was invalid, after the item may have started. */
    BROKEN
  }

  /** Receives the outcome of a run unless the run was stopped. */
  interface EndListener {
    void ended(ItemRun run, Outcome outcome, String cause);
  }

  private static final int UNPROCESSABLE = 422;

  private final BatchDependencies dependencies;
  private final OwnedItem item;
  private final ServiceEndpoint endpoint;
  private final EndListener listener;
  private final int eventsBefore;
  private final long startedNanos;
  private final EventStreamParser eventParser = new EventStreamParser();
  private EndpointExchange exchange;
  private boolean finished;

  ItemRun(
      BatchDependencies dependencies,
      OwnedItem item,
      ServiceEndpoint endpoint,
      EndListener listener) {
    this.dependencies = dependencies;
    this.item = item;
    this.endpoint = endpoint;
    this.listener = listener;
    this.eventsBefore = item.progress().eventCount();
    this.startedNanos = dependencies.clock().nanos();
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
    exchange = dependencies.endpointClient().start(call, this);
  }

  /** Cancels the run at the endpoint without notifying the listener. */
  void stop() {
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
      end(Outcome.NOT_RUN, "rejected with " + answer.status());
    } else if (!answer.genuine()) {
      exchange.close();
      end(Outcome.BROKEN, "the answer is not signed or belongs to another request");
    } else if (answer.status() == UNPROCESSABLE) {
      end(Outcome.IMPOSSIBLE, "answered " + answer.status());
    } else if (!answer.isSuccess()) {
      end(Outcome.FAILED, "answered " + answer.status());
    }
  }

  @Override
  public void onBytes(ByteBuffer bytes) {
    if (!finished) {
      eventParser.accept(bytes).forEach(item.progress()::add);
      if (eventParser.isTooLong()) {
        exchange.close();
        end(Outcome.BROKEN, "an event has no end");
      }
    }
  }

  @Override
  public void onEnd() {
    if (!finished) {
      if (eventParser.takeIncompleteEvent().length > 0) {
        end(Outcome.BROKEN, "the answer ended inside an event");
      } else {
        end(Outcome.COMPLETED, "complete");
      }
    }
  }

  @Override
  public void onFailure(HttpFailure failure) {
    if (!finished) {
      if (failure instanceof HttpFailure.NotSent) {
        dependencies
            .dispatcher()
            .health()
            .recordUnreachable(endpoint.name(), dependencies.clock().nanos());
        end(Outcome.NOT_RUN, failure.reason());
      } else {
        dependencies
            .dispatcher()
            .health()
            .recordBrokenAnswer(endpoint.name(), dependencies.clock().nanos());
        end(Outcome.BROKEN, failure.reason());
      }
    }
  }

  private void end(Outcome outcome, String cause) {
    finished = true;
    listener.ended(this, outcome, cause);
  }
}
