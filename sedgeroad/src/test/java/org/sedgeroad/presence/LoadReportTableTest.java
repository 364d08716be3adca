package org.sedgeroad.presence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against the use of counts from outdated load reports and against instances that are
 * wrongly considered failed.
 */
class LoadReportTableTest {
  private static final long MILLI = 1_000_000L;

  private final LoadReportTable table = new LoadReportTable();

  private static LoadReport report(String instance, long incarnation, long sequence) {
    return new LoadReport(
        instance, incarnation, sequence, 1, 1, 0, Map.of(), Map.of(), Map.of(), Map.of(), false);
  }

  @Nested
  class Restart {
    /** Incarnations are random, so a new process may have a lower one than the previous process. */
    @Test
    void isDetectedEvenIfTheNewIncarnationIsLower() {
      assertTrue(table.receive(report("a", 500, 90), 0));
      assertTrue(table.receive(report("a", 100, 1), 1_000 * MILLI));
      assertTrue(table.isLive("a", 3_000 * MILLI));
    }

    @Test
    void isNotUndoneByALateReportOfTheOldProcess() {
      table.receive(report("a", 500, 90), 0);
      table.receive(report("a", 100, 1), 10 * MILLI);
      assertFalse(table.receive(report("a", 500, 91), 20 * MILLI));
    }
  }

  /** Guards against a quota that is used again because its user was killed or restarted. */
  @Nested
  class SentRequests {
    private LoadReport sent(long incarnation, int count) {
      Map<String, WorkspaceLoad> loads = Map.of("chess", new WorkspaceLoad(count, 1, 1));
      return report("a", incarnation, 1)
          .withDetails(new FleetDetails(Confirmation.NONE, 5_000, 1, loads, Map.of()));
    }

    private WorkspaceLoad known(long millis) {
      FleetDetails details = table.others(millis * MILLI).details();
      return details.workspaces().getOrDefault("chess", WorkspaceLoad.NONE);
    }

    @Test
    void ofASilentInstanceStayForTheRetention() {
      table.setRetention(5_000);
      table.receive(sent(1, 7), 0);
      assertEquals(new WorkspaceLoad(7, 1, 1), known(599));
      assertEquals(new WorkspaceLoad(0, 0, 0, 7), known(600));
      assertEquals(0, table.others(600 * MILLI).details().completeHistories());
      assertEquals(new WorkspaceLoad(0, 0, 0, 7), known(4_999));
      assertEquals(WorkspaceLoad.NONE, known(5_000));
    }

    @Test
    void ofAReplacedProcessStayBesideThoseOfTheNewOne() {
      table.setRetention(5_000);
      table.receive(sent(1, 7), 0);
      table.receive(sent(2, 3), 100 * MILLI);
      assertEquals(new WorkspaceLoad(3, 1, 1, 7), known(200));
    }
  }

  @Nested
  class Order {
    @Test
    void ignoresOlderAndRepeatedReports() {
      table.receive(report("a", 1, 2), 0);
      assertFalse(table.receive(report("a", 1, 1), MILLI));
      assertFalse(table.receive(report("a", 1, 2), MILLI));
    }
  }

  @Nested
  class Age {
    @Test
    void invalidatesCountsBeforeTheInstanceIsConsideredFailed() {
      table.receive(report("a", 1, 1), 0);
      assertEquals(1, table.current(599 * MILLI).size());
      assertEquals(0, table.current(600 * MILLI).size());
      assertTrue(table.isLive("a", 2_499 * MILLI));
      assertFalse(table.isLive("a", 2_500 * MILLI));
    }
  }

  @Nested
  class Exchanged {
    @Test
    void onlyIfAllOthersHaveReportedSince() {
      table.receive(report("a", 1, 1), 5 * MILLI);
      table.receive(report("b", 1, 1), 15 * MILLI);
      assertFalse(table.hasExchangedSince(10 * MILLI, 2, 20 * MILLI));
      table.receive(report("a", 1, 2), 16 * MILLI);
      assertTrue(table.hasExchangedSince(10 * MILLI, 2, 20 * MILLI));
      assertFalse(table.hasExchangedSince(10 * MILLI, 3, 20 * MILLI));
      assertFalse(table.hasExchangedSince(10 * MILLI, 2, 700 * MILLI));
    }
  }

  @Nested
  class Isolation {
    @Test
    void isAssumedOnlyIfSeveralOthersAreSilent() {
      table.receive(report("a", 1, 1), 0);
      assertFalse(table.isIsolated(7_999 * MILLI));
      table.receive(report("b", 1, 1), 0);
      assertFalse(table.isIsolated(2_499 * MILLI));
      assertTrue(table.isIsolated(2_500 * MILLI));
      assertTrue(table.isIsolated(7_999 * MILLI));
      assertFalse(table.isIsolated(8_000 * MILLI));
      table.receive(report("b", 1, 2), 8_000 * MILLI);
      assertFalse(table.isIsolated(9_000 * MILLI));
    }
  }
}
