package org.sedgeroad.suspicion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.exchange.ChangeExchange;
import org.sedgeroad.placement.VirtualTime;
import org.sedgeroad.store.FakeStore;
import org.sedgeroad.store.StoreWriter;

/** Guards against log lines about quarantines that never came into force, or without end. */
class SuspicionGuardTest {
  private static final List<String> KEYS = List.of("part-first", "part-dead");

  private final Logger logger = Logger.getLogger("org.sedgeroad");
  private final List<String> lines = new ArrayList<>();
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          if (line.getMessage().contains("\"event\":4005")) {
            lines.add(line.getMessage());
          }
        }

        @Override
        public void flush() {
          // Lines are not buffered.
        }

        @Override
        public void close() {
          // There is nothing to close.
        }
      };

  private final VirtualTime time = new VirtualTime();
  private final SuspicionTable table = new SuspicionTable(time);
  private final EventLog log = EventLog.of("first");
  private final SuspicionGuard guard =
      new SuspicionGuard(
          table,
          new ChangeExchange<>(table, series -> {}, 16, () -> false, time, time),
          new QuarantineStore(
              StoreWriter.of(new FakeStore(), "first", () -> {}),
              Runnable::run,
              time,
              time,
              () -> 0,
              log,
              series -> {}),
          time,
          log);

  @BeforeEach
  void readLog() {
    logger.addHandler(handler);
  }

  @AfterEach
  void restoreLog() {
    logger.removeHandler(handler);
  }

  private void crash(List<String> keys, int first, int last) {
    for (int endpoint = first; endpoint <= last; endpoint++) {
      guard.recordCrash("e" + endpoint, guard.series(keys));
    }
  }

  private void awaitReports() {
    time.runUntil(time.nanos() / 1e6 + SuspicionTable.REPORT_WAIT_MILLIS);
  }

  @Nested
  class Event4005 {
    @Test
    void namesNoPartThatAnAnswerClears() {
      crash(KEYS, 1, 3);
      guard.recordAnswer(List.of("part-first"));
      awaitReports();
      assertEquals(1, lines.size());
      assertTrue(lines.get(0).contains("\"key\":\"part-dead\""), lines.get(0));
    }

    @Test
    void isNotLoggedBeforeTheQuarantineIsInForce() {
      crash(KEYS, 1, 3);
      assertEquals(List.of(), lines);
      awaitReports();
      assertEquals(Suspicion.Verdict.QUARANTINED, guard.suspicion(KEYS).verdict());
      assertEquals(1, lines.size());
    }

    @Test
    void isOneLineForTheKeysOfADecision() {
      crash(KEYS, 1, 8);
      awaitReports();
      crash(KEYS, 9, 12);
      awaitReports();
      assertEquals(1, lines.size());
      assertTrue(lines.get(0).contains("\"key\":\"part-dead,part-first\""), lines.get(0));
    }

    @Test
    void isLoggedAgainForALaterQuarantine() {
      crash(KEYS, 1, 3);
      awaitReports();
      guard.recordAnswer(KEYS);
      crash(KEYS, 4, 6);
      awaitReports();
      assertEquals(2, lines.size());
    }
  }
}
