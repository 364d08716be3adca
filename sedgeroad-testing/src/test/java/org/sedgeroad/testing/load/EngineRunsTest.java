package org.sedgeroad.testing.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineRunsTest {
  private static String event(int index, String type, String id, int tokens, long micros) {
    return String.format(
        "{\"index\":%d,\"event\":\"%s\",\"request_id\":\"%s\",\"service_class\":\"batch\","
            + "\"fingerprint\":\"f\",\"tokens\":%d,\"time_micros\":%d}",
        index, type, id, tokens, micros);
  }

  private static EngineRuns runs(String... events) {
    String history = "{\"events\":[" + String.join(",", events) + "]}";
    return new EngineRuns(EngineRuns.parse("e", history), 10_000_000);
  }

  @Nested
  class Parse {
    /** Guards against a second run with the same request id that replaces the first. */
    @Test
    void runsOfOneIdStayApart() {
      List<EngineRun> runs =
          runs(
                  event(0, "accept", "a", 0, 100),
                  event(1, "start", "a", 0, 150),
                  event(2, "cancel", "a", 3, 200),
                  event(3, "accept", "a", 0, 300))
              .runs();
      assertEquals(2, runs.size());
      assertEquals(3, runs.get(0).tokens());
      assertFalse(runs.get(0).finished());
      assertEquals(50, runs.get(0).waitMicros(1_000));
      assertEquals(700, runs.get(1).waitMicros(1_000));
    }

    /** Guards against runs that stay open after the engine lost them. */
    @Test
    void crashEndsOpenRuns() {
      EngineRuns runs =
          runs(
              event(0, "accept", "a", 0, 100),
              event(1, "start", "a", 0, 150),
              event(2, "crash", "", 0, 400));
      assertEquals(250, runs.runs().get(0).slotMicros(0, 1_000));
    }
  }

  @Nested
  class Rates {
    /** Guards against counting items that finished outside the measured time. */
    @Test
    void onlyTheWindowCounts() {
      EngineRuns runs =
          runs(
              event(0, "accept", "a", 0, 0),
              event(1, "start", "a", 0, 0),
              event(2, "finish", "a", 8, 900_000),
              event(3, "accept", "b", 0, 0),
              event(4, "start", "b", 0, 1_000_000),
              event(5, "finish", "b", 8, 1_500_000));
      assertEquals(1, runs.batchItemsPerSecond(1_000_000, 2_000_000));
      assertEquals(0.5, runs.meanSlots(EngineRun::isBatch, 1_000_000, 2_000_000));
    }
  }
}
