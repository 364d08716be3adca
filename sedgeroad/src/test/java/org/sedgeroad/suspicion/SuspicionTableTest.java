package org.sedgeroad.suspicion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against sound requests that are quarantined, and crashing ones that are not. */
class SuspicionTableTest {
  private static final List<String> DEADLY = List.of("part-first", "part-dead", "request-1");
  private static final List<String> OTHER_DEADLY = List.of("part-first", "part-dead", "request-2");
  private static final List<String> SOUND = List.of("part-first", "part-rare", "request-3");

  private long nowMillis = 1_000;
  private final SuspicionTable table = new SuspicionTable(() -> nowMillis * 1_000_000L);

  private void crash(String endpoint, List<String> keys) {
    table.recordCrash(endpoint, table.series(keys));
    nowMillis += 10;
  }

  private void crashInARow(int count, List<String> keys) {
    for (int index = 0; index < count; index++) {
      crash("e" + index, keys);
    }
  }

  private Suspicion.Verdict verdict(List<String> keys) {
    return table.suspicion(keys).verdict();
  }

  private void passReportWait() {
    nowMillis += SuspicionTable.REPORT_WAIT_MILLIS;
  }

  @Nested
  class CrashesInARow {
    @Test
    void quarantineRequestsWithAllKeysThatWerePresent() {
      crashInARow(3, DEADLY);
      assertEquals(Suspicion.Verdict.AWAITING_REPORTS, verdict(DEADLY));
      passReportWait();
      assertEquals(Suspicion.Verdict.QUARANTINED, verdict(DEADLY));
      assertEquals(Suspicion.Verdict.CLEAR, verdict(OTHER_DEADLY));
      assertEquals(Suspicion.Verdict.CLEAR, verdict(SOUND));
    }

    @Test
    void quarantineThePartAloneOnceOtherRequestsWithItCrash() {
      crashInARow(3, DEADLY);
      crash("e3", OTHER_DEADLY);
      table.recordAnswer(SOUND);
      passReportWait();
      assertEquals("part-dead", table.suspicion(OTHER_DEADLY).key());
      assertEquals(
          Suspicion.Verdict.QUARANTINED, verdict(List.of("part-first", "part-dead", "request-9")));
      assertEquals(Suspicion.Verdict.CLEAR, verdict(SOUND));
    }

    @Test
    void quarantineNothingIfTheyAreFarApart() {
      crashInARow(2, DEADLY);
      nowMillis += 660_000;
      crash("e2", DEADLY);
      passReportWait();
      assertEquals(Suspicion.Verdict.CLEAR, verdict(DEADLY));
    }

    @Test
    void quarantineNothingIfTwo() {
      crashInARow(2, DEADLY);
      passReportWait();
      assertEquals(Suspicion.Verdict.CLEAR, verdict(DEADLY));
    }

    /** A deployment may have one endpoint, or endpoints that keep their name when they restart. */
    @Test
    void countAtTheSameEndpoint() {
      for (int index = 0; index < 3; index++) {
        crash("e0", DEADLY);
      }
      passReportWait();
      assertEquals(Suspicion.Verdict.QUARANTINED, verdict(DEADLY));
    }
  }

  @Nested
  class CrashesAtTheSameTime {
    @Test
    void countOnce() {
      List<Map<String, CrashSeries>> starts = new ArrayList<>();
      for (int index = 0; index < 8; index++) {
        starts.add(table.series(SOUND));
      }
      for (int index = 0; index < 8; index++) {
        table.recordCrash("e" + index, starts.get(index));
      }
      assertEquals(1, table.series("part-first").length());
    }
  }

  @Nested
  class Answer {
    @Test
    void endsTheSeries() {
      crashInARow(3, DEADLY);
      table.recordAnswer(DEADLY);
      passReportWait();
      assertEquals(Suspicion.Verdict.CLEAR, verdict(DEADLY));
      crashInARow(2, DEADLY);
      passReportWait();
      assertEquals(Suspicion.Verdict.CLEAR, verdict(DEADLY));
    }

    /** The run began before the answer, so it says nothing new. */
    @Test
    void outweighsALaterCrashOfARunThatBeganBefore() {
      Map<String, CrashSeries> atStart = table.series(SOUND);
      crash("e0", SOUND);
      table.recordAnswer(SOUND);
      table.recordCrash("e1", atStart);
      assertEquals(0, table.series("part-first").length());
    }

    @Test
    void ofAnotherInstanceEndsTheSeries() {
      crashInARow(3, DEADLY);
      table.merge(Map.of("part-first", table.series("part-first").afterAnswer()));
      assertEquals(0, table.series("part-first").length());
      assertEquals(3, table.series("part-dead").length());
    }
  }

  @Nested
  class Exchange {
    @Test
    void givesTheSameResultInAnyOrder() {
      CrashSeries one = new CrashSeries(5, List.of("a"), false);
      CrashSeries two = new CrashSeries(5, List.of("b", "c"), false);
      CrashSeries answered = new CrashSeries(5, List.of(), true);
      CrashSeries later = new CrashSeries(6, List.of("d"), false);
      List<CrashSeries> all = List.of(one, two, answered, later);
      for (CrashSeries left : all) {
        for (CrashSeries right : all) {
          assertEquals(left.merge(right), right.merge(left));
          for (CrashSeries third : all) {
            assertEquals(left.merge(right).merge(third), left.merge(right.merge(third)));
          }
        }
      }
    }

    @Test
    void reportsChangesOnly() {
      crash("e0", DEADLY);
      Map<String, CrashSeries> news = table.recent(1_000, 16);
      assertEquals(3, news.size());
      assertTrue(table.merge(news).isEmpty());
      nowMillis += 1_000;
      assertTrue(table.recent(1_000, 16).isEmpty());
    }
  }

  @Nested
  class ManyCrashes {
    @Test
    void keepTheLongestSeries() {
      crashInARow(3, DEADLY);
      for (int index = 0; index < 3_000; index++) {
        crash("e", List.of("request-x" + index));
      }
      passReportWait();
      assertFalse(table.isEmpty());
      assertEquals(Suspicion.Verdict.QUARANTINED, verdict(DEADLY));
    }
  }
}
