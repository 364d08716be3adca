package org.sedgeroad.live;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineListener;
import org.sedgeroad.engine.EngineStream;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.route.Placement;

/** Finds out whether an endpoint whose connection broke has died. */
public final class EndpointProbe {
  private static final long WAIT_MILLIS = 250;

  private final EngineClient engine;
  private final MonotonicClock clock;

  /** Creates a probe. */
  public EndpointProbe(EngineClient engine, MonotonicClock clock) {
    this.engine = engine;
    this.clock = clock;
  }

  /**
   * Returns whether the endpoint refuses connections. An endpoint that gives no answer in time may
   * be cut off and does not count as dead. Blocks for at most 250 ms.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean isDead(Placement placement) throws InterruptedException {
    EngineCall call =
        new EngineCall(
            "GET",
            placement.address().resolve("/load"),
            Map.of(),
            new byte[0],
            "probe-" + placement.endpoint(),
            ServiceClass.LIVE,
            // A fresh connection: a pooled one would break and hide the refusal of a new one.
            false,
            clock.deadlineAfterMillis(WAIT_MILLIS));
    Answer answer = new Answer();
    try (EngineStream stream = engine.start(call, answer)) {
      return answer.dead.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException noAnswer) {
      return false;
    }
  }

  /** Waits for any sign of life, or for a refusal. */
  private static final class Answer implements EngineListener {
    private final CompletableFuture<Boolean> dead = new CompletableFuture<>();

    @Override
    public void onHead(HttpHead head) {
      dead.complete(false);
    }

    @Override
    public void onEvent(String data) {
      dead.complete(false);
    }

    @Override
    public void onWhole(byte[] body) {
      dead.complete(false);
    }

    @Override
    public void onFailure(EngineFailure failure) {
      boolean refused = failure instanceof EngineFailure.NotRun notRun && !notRun.draining();
      dead.complete(refused && !failure.reason().contains("timed out"));
    }
  }
}
