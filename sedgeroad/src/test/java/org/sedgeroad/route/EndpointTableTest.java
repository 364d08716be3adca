package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.ServiceClass;

class EndpointTableTest {
  private static final RequestShape REQUEST =
      new RequestShape("s", "m", ServiceClass.LIVE, 10, 10, 0, "f", true, Set.of());

  private long nanos = -5_000_000_000L;
  private final EndpointTable table = EndpointTable.of("r", () -> nanos);

  private static Endpoint endpoint(int port, EndpointState state) {
    return new Endpoint("e", "s", URI.create("http://127.0.0.1:" + port), "d", "r", state);
  }

  private void listEndpoint(int port, EndpointState state) {
    table.replace(List.of(endpoint(port, state)));
  }

  private int usableCount() {
    return table.candidates(REQUEST).size();
  }

  private void advanceMillis(long millis) {
    nanos += millis * 1_000_000L;
  }

  @BeforeEach
  void listOneEndpoint() {
    listEndpoint(1, EndpointState.LIVE);
  }

  @Nested
  class Draining {
    /**
     * Guards against new work at a draining endpoint that the instance list, which lags, still
     * shows as live.
     */
    @Test
    void holdsWhileTheListLags() {
      table.markDraining("e");
      advanceMillis(10_000);
      listEndpoint(1, EndpointState.LIVE);
      assertEquals(0, usableCount());
    }

    /** Guards against an endpoint that is never used again after its stop was cancelled. */
    @Test
    void endsIfTheListStillShowsTheEndpointAsLiveAfterThirtySeconds() {
      table.markDraining("e");
      advanceMillis(31_000);
      listEndpoint(1, EndpointState.LIVE);
      assertEquals(1, usableCount());
    }

    /** Guards against an endpoint that is never used again after it left and returned. */
    @Test
    void endsWhenTheEndpointWasLeavingAndIsLiveAgain() {
      table.markDraining("e");
      listEndpoint(1, EndpointState.LEAVING);
      listEndpoint(1, EndpointState.LIVE);
      assertEquals(1, usableCount());
    }

    /** Guards against a replacement that is not used because its predecessor was draining. */
    @Test
    void doesNotApplyToAReplacement() {
      table.markDraining("e");
      listEndpoint(2, EndpointState.LIVE);
      assertEquals(1, usableCount());
      table.markDraining("e", URI.create("http://127.0.0.1:1"));
      assertEquals(1, usableCount());
    }
  }

  @Nested
  class Counts {
    /**
     * Guards against a replacement whose counts are lowered when requests of its predecessor end.
     */
    @Test
    void ofAReplacementIgnoreOldPlacements() {
      Placement old = table.begin(endpoint(1, EndpointState.LIVE), REQUEST);
      listEndpoint(2, EndpointState.LIVE);
      table.begin(endpoint(2, EndpointState.LIVE), REQUEST);
      table.end(old);
      assertEquals(1, table.candidates(REQUEST).get(0).ownLive());
    }
  }

  @Nested
  class Failed {
    /**
     * Guards against an endpoint that stays unusable after a failure. The monotonic time is
     * negative here, which must not matter.
     */
    @Test
    void endpointsAreTriedAgain() {
      table.markFailed("e");
      assertEquals(0, usableCount());
      advanceMillis(1_000);
      assertEquals(1, usableCount());
    }
  }
}
