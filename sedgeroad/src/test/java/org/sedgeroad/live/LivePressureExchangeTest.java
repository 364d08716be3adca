package org.sedgeroad.live;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.peer.LivePressure;
import org.sedgeroad.peer.RendezvousHashing;

class LivePressureExchangeTest {
  private final LiveFixture fixture = new LiveFixture(1);
  private final List<String> steps = new ArrayList<>();
  private final List<LivePressure> reports = new ArrayList<>();
  private List<String> instances = List.of("a", "b", "c");
  private final String owner = RendezvousHashing.rank("e0", instances).get(0);
  private int wakeCount;

  private LivePressureExchange exchange(String instance, long startMillis) {
    return new LivePressureExchange(
        instance,
        "d",
        fixture.endpoints,
        () -> instances,
        domain -> List.of("bridge-" + domain),
        (peer, message) -> {
          steps.add("notified " + peer);
          reports.add((LivePressure) message);
        },
        () -> wakeCount++,
        startMillis);
  }

  private String other() {
    return instances.stream().filter(name -> !name.equals(owner)).findFirst().orElseThrow();
  }

  private int peerLive() {
    return fixture.endpoints.usableEndpoints().get(0).peerLive();
  }

  @Nested
  class Sending {
    /**
     * Guards against batch items that are preempted only after the engine has queued the live
     * request.
     */
    @Test
    void notifiesTheOwnerBeforeTheRequestIsSent() throws Exception {
      fixture.placements = exchange(other(), 1_000);
      fixture.serve(
          new FakeEngine(
              call -> {
                steps.add("sent");
                call.answerStream("a").end();
              }));
      // In a failure domain of three, the third instance is also notified, after the owner.
      String third =
          instances.stream()
              .filter(name -> !name.equals(owner) && !name.equals(other()))
              .findFirst()
              .orElseThrow();
      assertEquals(
          List.of(
              "notified " + owner,
              "notified " + third,
              "sent",
              "notified " + owner,
              "notified " + third),
          steps);
      assertEquals(List.of(1, 1, 0, 0), reports.stream().map(LivePressure::liveRequests).toList());
    }
  }

  @Nested
  class OtherDomains {
    /**
     * Guards against batch items that keep a slot needed by live requests of another failure
     * domain.
     */
    @Test
    void forwardsReportsToTheOwner() {
      LivePressure report = new LivePressure("far", "e0", 1, 2);
      exchange(other(), 1_000).receive(report);
      assertEquals(List.of("notified " + owner), steps);
      exchange(owner, 1_000).receive(report);
      assertEquals(2, peerLive());
    }

    /**
     * Guards against the removal of counts that a sender in another failure domain still repeats.
     */
    @Test
    void keepsCountsOfSendersInOtherDomainsForAWhile() {
      LivePressureExchange exchange = exchange(owner, 1_000);
      exchange.receive(new LivePressure("far", "e0", 1, 2));
      exchange.removeFailedPeers();
      assertEquals(2, peerLive());
    }
  }

  @Nested
  class Receiving {
    private final LivePressureExchange exchange = exchange(owner, 1_000);

    /**
     * Guards against an old count that replaces a newer one, also after a restart of the sender.
     */
    @Test
    void ignoresOlderReportsAndWakesTheJobRunner() {
      exchange.receive(new LivePressure("x", "e0", 6, 3));
      exchange.receive(new LivePressure("x", "e0", 5, 1));
      assertEquals(3, peerLive());
      assertEquals(1, wakeCount);
      fixture.placements = exchange(other(), 2_000);
      exchange.receive(new LivePressure("x", "e0", 2_000L << 20, 2));
      assertEquals(2, peerLive());
    }

    /** Guards against requests of a failed sender that count forever. */
    @Test
    void removesCountsOfFailedSenders() {
      exchange.receive(new LivePressure(other(), "e0", 1, 3));
      instances = List.of(owner);
      exchange.removeFailedPeers();
      assertEquals(0, peerLive());
    }

    /** Guards against counts that stay wrong after a message was lost. */
    @Test
    void takesCountsFromHeartbeats() {
      List<String> others = instances.stream().filter(name -> !name.equals(owner)).toList();
      exchange.receiveCounts(others.get(0), Map.of("e0", 2));
      exchange.receiveCounts(others.get(1), Map.of("e0", 1));
      assertEquals(3, peerLive());
      exchange.receiveCounts(others.get(0), Map.of());
      assertEquals(1, peerLive());
      assertTrue(fixture.endpoints.ownLiveCounts().isEmpty());
    }
  }
}
