package org.sedgeroad.testing.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.load.EngineRun;
import org.sedgeroad.testing.load.EngineRuns;

class QueueWaitsTest {
  private static EngineRun run(
      String engine, String serviceClass, long accept, long start, long end) {
    return new EngineRun(engine, "id", serviceClass, "f", accept, start, end, end >= 0, 1);
  }

  private static List<QueueWaits.Wait> waits(EngineRun... runs) {
    return QueueWaits.behindBatch(new EngineRuns(List.of(runs), 900_000), 0, 1_000_000);
  }

  @Nested
  class BehindBatch {
    /** Guards against a live run that waits behind a batch item without being found. */
    @Test
    void findsALiveRunThatWaits() {
      List<QueueWaits.Wait> waits =
          waits(run("e", "batch", 0, 0, 70_000), run("e", "live", 10_000, 90_000, 95_000));
      assertEquals(1, waits.size());
      assertEquals(70_000, waits.get(0).untilMicros());
    }

    /** Guards against a run that never gets a slot being treated as one that didn't wait. */
    @Test
    void findsALiveRunThatNeverStarts() {
      assertEquals(1, waits(run("e", "batch", 0, 0, -1), run("e", "live", 10, -1, -1)).size());
    }

    /** Guards against counting waits behind other live runs or behind batch items elsewhere. */
    @Test
    void ignoresOtherWaits() {
      assertEquals(
          0,
          waits(
                  run("other", "batch", 0, 0, 70_000),
                  run("e", "live", 0, 0, 70_000),
                  run("e", "live", 10_000, 70_000, 80_000))
              .size());
    }
  }
}
