package org.sedgeroad.live;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.engine.EngineCallHandle;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineListener;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.route.Placement;

/** Checks whether an endpoint has crashed after a connection to it broke. */
public final class EndpointProbe {
  private static final long WAIT_MILLIS = 250;

  private final EngineClient engine;
  private final MonotonicClock clock;

  /** Creates a probe that sends its requests with the given client. */
  public EndpointProbe(EngineClient engine, MonotonicClock clock) {
    this.engine = engine;
    this.clock = clock;
  }

  /**
   * Returns whether the endpoint of a placement refuses connections. An endpoint that does not
   * answer in time may be unreachable because of the network, and does not count as crashed. Blocks
   * for at most 250 ms.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean hasCrashed(Placement placement) throws InterruptedException {
    EngineCall call =
        new EngineCall(
            "GET",
            placement.address().resolve("/load"),
            Map.of(),
            new byte[0],
            "probe-" + placement.endpoint(),
            ServiceClass.LIVE,
            // Not idempotent, so that a new connection is opened: a pooled one would break, which
            // hides that new connections are refused.
            false,
            clock.deadlineAfterMillis(WAIT_MILLIS));
    ProbeListener answer = new ProbeListener();
    try (EngineCallHandle callHandle = engine.start(call, answer)) {
      return answer.crashed.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException noAnswer) {
      return false;
    }
  }

  /**
   * Completes its future with false at the first answer of the endpoint, or at a failure with
   * whether the connection was refused.
   */
  private static final class ProbeListener implements EngineListener {
    private final CompletableFuture<Boolean> crashed = new CompletableFuture<>();

    @Override
    public void onHead(HttpHead head) {
      crashed.complete(false);
    }

    @Override
    public void onEvent(String data) {
      crashed.complete(false);
    }

    @Override
    public void onComplete(byte[] body) {
      crashed.complete(false);
    }

    @Override
    public void onFailure(EngineFailure failure) {
      boolean refused = failure instanceof EngineFailure.NotRun notRun && !notRun.draining();
      crashed.complete(refused && !failure.reason().contains("timed out"));
    }
  }
}
