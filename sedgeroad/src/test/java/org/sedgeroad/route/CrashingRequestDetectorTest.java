package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.ServiceClass;

class CrashingRequestDetectorTest {
  private static final long MILLI = 1_000_000L;

  private long nanos = -1_000 * MILLI;
  private Instant wall = Instant.EPOCH;
  private final CrashingRequestDetector detector = new CrashingRequestDetector(() -> wall);

  private Placement placement(String endpoint, String fingerprint) {
    RequestShape request =
        new RequestShape("s", "m", ServiceClass.LIVE, 1, 1, 0, fingerprint, true, Set.of());
    URI address = URI.create("http://127.0.0.1:1");
    return new Placement(endpoint, address, 1, request, false, nanos);
  }

  private CrashVerdict verdict(String fingerprint) {
    return detector.verdict(fingerprint, nanos);
  }

  /**
   * Sends requests to an endpoint and returns the fingerprints of those that the detector allowed.
   * The endpoint crashes if {@code bad} was sent. It also crashes, for another cause, if {@code
   * bad} is not among the requests.
   */
  private List<String> sendAndCrash(String endpoint, List<String> fingerprints) {
    List<Placement> sent = new ArrayList<>();
    for (String fingerprint : fingerprints) {
      Placement placement = placement(endpoint, fingerprint);
      if (detector.tryBegin(placement, nanos)) {
        sent.add(placement);
      }
    }
    boolean crashes =
        sent.stream().anyMatch(placement -> placement.request().fingerprint().equals("bad"))
            || !fingerprints.contains("bad");
    for (Placement placement : sent) {
      detector.end(placement, crashes, nanos);
      if (crashes) {
        detector.endpointLost(placement, nanos);
      } else {
        detector.clearSuspicion(placement.request().fingerprint());
      }
    }
    nanos += 400 * MILLI;
    return sent.stream().map(placement -> placement.request().fingerprint()).toList();
  }

  private List<String> innocent(int from) {
    return IntStream.range(from, from + 10).mapToObj(index -> "ok" + index).toList();
  }

  private static List<String> with(String first, List<String> rest) {
    List<String> all = new ArrayList<>(rest);
    all.add(0, first);
    return all;
  }

  @Nested
  class Quarantine {
    /** Guards against a request that crashes one endpoint after another. */
    @Test
    void comesAfterTwoEndpoints() {
      sendAndCrash("e1", List.of("bad"));
      assertEquals(CrashVerdict.SUSPECT, verdict("bad"));
      sendAndCrash("e2", List.of("bad"));
      assertEquals(CrashVerdict.QUARANTINED, verdict("bad"));
      assertEquals(Set.of("bad"), detector.takeUnpublishedQuarantines().keySet());
      assertTrue(detector.takeUnpublishedQuarantines().isEmpty());
      wall = wall.plusSeconds(3_601);
      nanos += 601_000 * MILLI;
      assertEquals(CrashVerdict.CLEAR, verdict("bad"));
    }

    /**
     * Guards against the loss of a third endpoint while the reports of other instances on the
     * second one are still outstanding.
     */
    @Test
    void delaysTheRequestUntilTheReportsAreReceived() {
      sendAndCrash("e1", List.of("bad"));
      sendAndCrash("e2", List.of("bad"));
      nanos -= 300 * MILLI;
      assertEquals(CrashVerdict.AWAITING_REPORTS, verdict("bad"));
      assertFalse(detector.tryBegin(placement("e3", "bad"), nanos));
    }

    /**
     * Guards against a quarantine of requests that ran at the same endpoint as the crashing one.
     */
    @Test
    void sparesTenInnocentRequestsThoughTheCrashingOneIsResentFiveTimes() {
      int lost = 0;
      for (int resent = 0; resent < 5; resent++) {
        if (resent != 1) {
          lost += sendAndCrash("e" + resent, with("bad", innocent(0))).contains("bad") ? 1 : 0;
          continue;
        }
        // An innocent suspect is running there already: the crashing one must go elsewhere.
        Placement first = placement("e1", "ok0");
        assertTrue(detector.tryBegin(first, nanos));
        assertFalse(detector.tryBegin(placement("e1", "bad"), nanos));
        detector.end(first, false, nanos);
        detector.clearSuspicion("ok0");
      }
      assertEquals(2, lost, "endpoints lost before the quarantine");
      assertEquals(CrashVerdict.QUARANTINED, verdict("bad"));
      innocent(0).forEach(name -> assertNotEquals(CrashVerdict.QUARANTINED, verdict(name)));
      innocent(0).forEach(detector::clearSuspicion);
      innocent(0).forEach(name -> assertEquals(CrashVerdict.CLEAR, verdict(name)));
    }

    /**
     * Guards against a quarantine of an innocent suspect that ran together with the crashing
     * request, if another instance sent the crashing one.
     */
    @Test
    void needsASoleSuspectAcrossAllInstances() {
      sendAndCrash("e1", List.of("bad"));
      detector.recordLoss("e1", "http://127.0.0.1:1", List.of("ok"), nanos - 400 * MILLI);
      sendAndCrash("e2", List.of("ok"));
      detector.recordLoss("e2", "http://127.0.0.1:1", List.of("bad"), nanos - 400 * MILLI);
      assertEquals(CrashVerdict.SUSPECT, verdict("ok"));
      sendAndCrash("e3", List.of("bad"));
      assertEquals(CrashVerdict.QUARANTINED, verdict("bad"));
      assertEquals(CrashVerdict.SUSPECT, verdict("ok"));
    }

    /** Guards against a quarantine that is set again right after it was lifted. */
    @Test
    void canBeLifted() {
      sendAndCrash("e1", List.of("bad"));
      sendAndCrash("e2", List.of("bad"));
      detector.quarantine("bad", wall.plusSeconds(60));
      detector.liftQuarantine("bad");
      assertEquals(CrashVerdict.CLEAR, verdict("bad"));
    }
  }

  /** Guards against sound items that are given up because endpoints crashed under them. */
  @Nested
  class Items {
    private final RequestShape item = shape("item");
    private int endpoints;

    private RequestShape shape(String fingerprint) {
      return new RequestShape("s", "m", ServiceClass.BATCH, 1, 1, 0, fingerprint, true, Set.of());
    }

    private CrashVerdict itemVerdict() {
      return detector.itemVerdict(item, nanos);
    }

    /** Loses another endpoint that ran the item, and waits for a while. */
    private void lose(long waitMillis, String... beside) {
      List<String> fingerprints = with("item", List.of(beside));
      detector.recordLoss("e" + endpoints++, "http://127.0.0.1:1", fingerprints, nanos);
      nanos += waitMillis * MILLI;
    }

    @Test
    void areSuspectsAfterTwoLosses() {
      lose(5_000);
      lose(5_000);
      assertEquals(CrashVerdict.SUSPECT, itemVerdict());
    }

    @Test
    void areCondemnedIfOthersAreAnsweredBetweenThreeLosses() {
      lose(1_000);
      detector.itemAnswered(shape("other"), nanos);
      nanos += 4_000 * MILLI;
      lose(5_000);
      lose(500);
      assertEquals(CrashVerdict.AWAITING_REPORTS, itemVerdict());
      nanos += 1_500 * MILLI;
      assertEquals(CrashVerdict.QUARANTINED, itemVerdict());
      assertTrue(detector.takeUnpublishedQuarantines().isEmpty());
    }

    @Test
    void areCondemnedAfterFiveLossesWithoutOtherAnswers() {
      for (int loss = 0; loss < 4; loss++) {
        lose(5_000);
      }
      assertEquals(CrashVerdict.SUSPECT, itemVerdict());
      lose(5_000);
      assertEquals(CrashVerdict.QUARANTINED, itemVerdict());
    }

    @Test
    void areNotCondemnedByABurstThatHitsOtherEndpointsToo() {
      for (int loss = 0; loss < 20; loss++) {
        detector.recordLoss("other" + loss, "http://127.0.0.1:2", List.of("x" + loss), nanos);
        detector.itemAnswered(shape("other"), nanos);
        lose(5_000);
      }
      assertEquals(CrashVerdict.SUSPECT, itemVerdict());
    }

    @Test
    void areNotCondemnedBesideAnotherSuspect() {
      lose(5_000, "other");
      detector.itemAnswered(shape("third"), nanos);
      for (int loss = 0; loss < 20; loss++) {
        lose(5_000, "other");
      }
      assertEquals(CrashVerdict.SUSPECT, itemVerdict());
    }

    @Test
    void areClearAfterAnAnswer() {
      lose(5_000);
      lose(5_000);
      detector.itemAnswered(item, nanos);
      assertEquals(CrashVerdict.CLEAR, itemVerdict());
    }

    /** An item waited for an hour if a live request with its fingerprint was quarantined. */
    @Test
    void areNotQuarantined() {
      detector.quarantine("item", wall.plusSeconds(3_600));
      assertTrue(
          detector.tryBegin(
              new Placement("e", URI.create("http://127.0.0.1:1"), 1, item, false, nanos), nanos));
    }
  }

  @Nested
  class Suspects {
    /**
     * Guards against two suspects at one endpoint, where it would be unknown which one crashed it.
     */
    @Test
    void runWithoutAnotherSuspect() {
      sendAndCrash("e1", List.of("a", "b"));
      assertTrue(detector.tryBegin(placement("e2", "a"), nanos));
      assertFalse(detector.tryBegin(placement("e2", "b"), nanos));
      assertTrue(detector.tryBegin(placement("e3", "b"), nanos));
      assertTrue(detector.tryBegin(placement("e2", "other"), nanos));
      assertEquals(Set.of("e2", "e3"), detector.endpointsWithSuspects(nanos));
    }

    /** Guards against two losses of an endpoint that restarts at its address counting as one. */
    @Test
    void countARestartedEndpointAgain() {
      sendAndCrash("e1", List.of("bad"));
      nanos += 3_000 * MILLI;
      sendAndCrash("e1", List.of("bad"));
      assertEquals(CrashVerdict.QUARANTINED, verdict("bad"));
    }
  }
}
