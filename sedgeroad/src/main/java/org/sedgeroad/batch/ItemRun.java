package org.sedgeroad.batch;

import java.nio.ByteBuffer;
import org.sedgeroad.gateway.EndpointAnswer;
import org.sedgeroad.gateway.EndpointCall;
import org.sedgeroad.gateway.EndpointExchange;
import org.sedgeroad.gateway.EndpointListener;
import org.sedgeroad.gateway.EventStream;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.http.HttpFailure;

/** One sending of an item to an endpoint. Used on the event loop. */
final class ItemRun implements EndpointListener {

  /** What became of a run. */
  enum Outcome {
    /** The whole output is there. */
    COMPLETED,
    /** The endpoint says that the item can never be done. */
    IMPOSSIBLE,
    /** The endpoint answered with a failure of the run. */
    FAILED,
    /** The endpoint did not run the item. */
    NOT_RUN,
    /** The connection broke. */
    BROKEN
  }

  /** Receives the end of a run that was not stopped. */
  interface EndListener {
    void ended(ItemRun run, Outcome outcome, String cause);
  }

  private static final int UNPROCESSABLE = 422;

  private final BatchParts parts;
  private final OwnedItem item;
  private final ServiceEndpoint endpoint;
  private final EndListener listener;
  private final int eventsBefore;
  private final long startedNanos;
  private final EventStream events = new EventStream();
  private EndpointExchange exchange;
  private boolean over;

  ItemRun(BatchParts parts, OwnedItem item, ServiceEndpoint endpoint, EndListener listener) {
    this.parts = parts;
    this.item = item;
    this.endpoint = endpoint;
    this.listener = listener;
    this.eventsBefore = item.progress().events();
    this.startedNanos = parts.clock().nanos();
  }

  OwnedItem item() {
    return item;
  }

  ServiceEndpoint endpoint() {
    return endpoint;
  }

  /** Returns the events that this run has brought. */
  int events() {
    return item.progress().events() - eventsBefore;
  }

  /** Returns when the run was started, in nanoseconds of the monotonic clock. */
  long startedNanos() {
    return startedNanos;
  }

  void start(EndpointCall call) {
    exchange = parts.caller().start(call, this);
  }

  /** Cancels the run at the endpoint; the listener is not called. */
  void stop() {
    if (!over) {
      over = true;
      exchange.close();
    }
  }

  // -----------------------------------------------------------------------

  @Override
  public void onAnswer(EndpointAnswer answer) {
    if (over) {
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
    if (!over) {
      events.accept(bytes).forEach(item.progress()::add);
    }
  }

  @Override
  public void onEnd() {
    if (!over) {
      if (events.takeRest().length > 0) {
        end(Outcome.BROKEN, "the answer ended inside an event");
      } else {
        end(Outcome.COMPLETED, "complete");
      }
    }
  }

  @Override
  public void onFailure(HttpFailure failure) {
    if (!over) {
      if (failure instanceof HttpFailure.NotSent) {
        parts.dispatcher().health().unreachable(endpoint.name(), parts.clock().nanos());
        end(Outcome.NOT_RUN, failure.reason());
      } else {
        parts.dispatcher().health().broken(endpoint.name(), parts.clock().nanos());
        end(Outcome.BROKEN, failure.reason());
      }
    }
  }

  private void end(Outcome outcome, String cause) {
    over = true;
    listener.ended(this, outcome, cause);
  }
}
