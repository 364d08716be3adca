package org.sedgeroad.access;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.placement.PossibleSenders;
import org.sedgeroad.placement.VirtualTime;
import org.sedgeroad.presence.LoadReportTable;
import org.sedgeroad.settings.QuotaSettings;

/** Guards against requests that are counted wrongly, and against clients that return together. */
class FleetQuotaGateTest {
  private static final Workspace CHESS = new Workspace("chess", OptionalInt.empty(), 2, 2);
  private static final int QUOTA = 12;
  private static final QuotaSettings SETTINGS = new QuotaSettings(5_000, 0.1, 20);

  private final VirtualTime time = new VirtualTime();
  private double random;
  private final FleetQuotaGate gate =
      new FleetQuotaGate(
          new PossibleSenders("a", "d", Map::of),
          new LoadReportTable(),
          SETTINGS,
          time,
          () -> random);

  @BeforeEach
  void takeTheQuota() {
    time.runUntil(6_000);
    for (int number = 0; number < QUOTA; number++) {
      assertTrue(gate.take(CHESS));
    }
  }

  @Nested
  class Counts {
    @Test
    void containNoRefusedRequest() {
      assertFalse(gate.allows(CHESS));
      assertFalse(gate.take(CHESS));
      assertEquals(Map.of("chess", QUOTA), gate.reportedCounts());
    }

    @Test
    void containNoRequestThatReachedNoEndpoint() {
      gate.giveBack(CHESS);
      assertEquals(Map.of("chess", QUOTA - 1), gate.reportedCounts());
      assertTrue(gate.take(CHESS));
      assertFalse(gate.allows(CHESS));
    }

    @Test
    void endAfterOneWindow() {
      time.runUntil(11_000);
      assertEquals(Map.of(), gate.reportedCounts());
      assertTrue(gate.allows(CHESS));
    }

    @Test
    void doNotLimitAWorkspaceWithoutARate() {
      Workspace free = new Workspace("free", OptionalInt.empty(), 0, 0);
      for (int number = 0; number < 1_000; number++) {
        assertTrue(gate.take(free));
      }
    }
  }

  @Nested
  class Retry {
    @Test
    void isSpreadAtRandomOnceThereIsRoom() {
      long early = gate.retryAtNanos(CHESS);
      random = 0.9;
      long late = gate.retryAtNanos(CHESS);
      assertTrue(early > time.nanos() + QuotaBudget.SHORTEST_WAIT_MILLIS * 1_000_000L);
      assertTrue(late - early > 500_000_000L, late - early + " ns");
    }
  }
}
