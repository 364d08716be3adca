package org.sedgeroad.testing.live;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.net.URI;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.live.CrashReportExchange;
import org.sedgeroad.peer.EndpointLost;
import org.sedgeroad.peer.PeerMessage;
import org.sedgeroad.peer.QuarantineNews;
import org.sedgeroad.route.CrashVerdict;
import org.sedgeroad.route.CrashingRequestDetector;
import org.sedgeroad.route.Placement;
import org.sedgeroad.route.RequestShape;
import org.sedgeroad.store.HttpObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.testing.TestClient;
import org.sedgeroad.testing.platform.OutageMode;
import org.sedgeroad.testing.platform.PlatformStandIn;

class CrashReportExchangeTest {
  private final PlatformStandIn platform = PlatformStandIn.start();
  private final TestClient client = new TestClient(platform.address());
  private final HttpObjectStore store =
      HttpObjectStore.of(platform.address(), client.httpClient(), 300);
  private final List<PeerMessage> sentMessages = new ArrayList<>();
  private long nanos = 1;
  private final CrashReportExchange reporter = createExchange("a");
  private final CrashReportExchange peer = createExchange("b");

  private CrashReportExchange createExchange(String name) {
    MonotonicClock clock = () -> nanos;
    return new CrashReportExchange(
        name,
        new CrashingRequestDetector(InstantSource.system()),
        () -> List.of("a", "b"),
        (peer, message) -> sentMessages.add(message),
        StoreWriter.of(store, name),
        clock,
        EventLog.of(name));
  }

  private void loseEndpoint(String endpoint) {
    RequestShape shape =
        new RequestShape("s", "m", ServiceClass.LIVE, 1, 1, 0, "f", true, Set.of());
    Placement placement =
        new Placement(endpoint, URI.create("http://127.0.0.1:1"), 1, shape, false, nanos);
    reporter.detector().tryBegin(placement, nanos);
    reporter.detector().end(placement, true, nanos);
    reporter.endpointLost(placement);
    // Longer than the 300 ms for which the detector waits for reports of other instances.
    nanos += 400_000_000L;
  }

  private static CrashVerdict verdict(CrashReportExchange exchange, long nanos) {
    return exchange.detector().verdict("f", nanos);
  }

  @AfterEach
  void close() {
    client.close();
    platform.close();
  }

  @Nested
  class Quarantines {
    /** Guards against a quarantine that is lost in a store outage or can't be lifted. */
    @Test
    void reachPeersAndTheStoreAndCanBeLifted() {
      loseEndpoint("e1");
      loseEndpoint("e2");
      assertEquals(CrashVerdict.QUARANTINED, verdict(reporter, nanos));
      // Makes the object API unavailable; false leaves the instance list available.
      platform.setOutage(OutageMode.UNAVAILABLE, false);
      reporter.publish();
      assertEquals(2, sentMessages.stream().filter(EndpointLost.class::isInstance).count());
      peer.receive((QuarantineNews) sentMessages.get(2));
      assertEquals(CrashVerdict.QUARANTINED, verdict(peer, nanos));
      // Ends the outage; the instance list has been available all the time.
      platform.setOutage(OutageMode.NONE, false);
      // The interval after which a failed write to the store is tried again.
      nanos += 2_000_000_000L;
      reporter.publish();
      StoredObject object =
          ((StoreResult.Done<StoredObject>)
                  assertInstanceOf(StoreResult.Done.class, store.get(Kinds.QUARANTINES, "f")))
              .value();
      CrashReportExchange storeReader = createExchange("c");
      storeReader.apply(object);
      assertEquals(CrashVerdict.QUARANTINED, verdict(storeReader, nanos));
      for (CrashReportExchange exchange : List.of(reporter, peer, storeReader)) {
        exchange.apply(new StoredObject(Kinds.QUARANTINES, "f", object.version() + 1, null));
        assertEquals(CrashVerdict.CLEAR, verdict(exchange, nanos));
      }
    }
  }
}
