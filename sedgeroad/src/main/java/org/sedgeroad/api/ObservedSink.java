package org.sedgeroad.api;

import java.io.IOException;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.WorkState;
import org.sedgeroad.live.AnswerSink;
import org.sedgeroad.live.LiveFailure;
import org.sedgeroad.metric.CompletedRequest;
import org.sedgeroad.metric.RequestOutcome;

/**
 * Forwards an answer to another sink and records its outcome and the time of its first event. The
 * end of a stream counts as its first event if there was none before. Not thread-safe.
 */
final class ObservedSink implements AnswerSink {
  private final AnswerSink sink;
  private final MonotonicClock clock;
  private final long startNanos;
  private long firstEventNanos = -1;
  private RequestOutcome outcome = RequestOutcome.CALLER_GONE;

  ObservedSink(AnswerSink sink, MonotonicClock clock) {
    this.sink = sink;
    this.clock = clock;
    this.startNanos = clock.nanos();
  }

  /**
   * Returns the request with its outcome. An answer that has not ended counts as {@link
   * RequestOutcome#CALLER_GONE}.
   */
  CompletedRequest toCompletedRequest(String member) {
    return new CompletedRequest(member, outcome, firstEventNanos, clock.nanos() - startNanos);
  }

  @Override
  public void sendEvent(String data) throws IOException {
    recordFirstEvent();
    sink.sendEvent(data);
  }

  @Override
  public void endStream() throws IOException {
    recordFirstEvent();
    sink.endStream();
    outcome = RequestOutcome.DONE;
  }

  @Override
  public void sendComplete(int status, String contentType, byte[] body) throws IOException {
    sink.sendComplete(status, contentType, body);
    outcome = status >= 500 ? RequestOutcome.ENDPOINT_ERROR : RequestOutcome.DONE;
  }

  @Override
  public void fail(LiveFailure failure) throws IOException {
    outcome = outcomeOf(failure);
    sink.fail(failure);
  }

  private static RequestOutcome outcomeOf(LiveFailure failure) {
    if (failure.workState() != WorkState.NOT_RUN) {
      return RequestOutcome.FAILED;
    }
    return failure.status() == 429 ? RequestOutcome.LIMIT : RequestOutcome.REFUSED;
  }

  private void recordFirstEvent() {
    if (firstEventNanos < 0) {
      firstEventNanos = clock.nanos() - startNanos;
    }
  }
}
