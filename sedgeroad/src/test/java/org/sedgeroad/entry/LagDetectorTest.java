package org.sedgeroad.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.placement.VirtualTime;

/** Guards against changes that a silent watch misses, and against needless restarts of watches. */
class LagDetectorTest {
  private final VirtualTime time = new VirtualTime();
  private int restarts;
  private final LagDetector detector = new LagDetector(time, () -> restarts++);

  private void check(boolean behind, double millis) {
    for (int step = 0; step < millis / 50; step++) {
      detector.check(behind);
      time.runUntil(time.nanos() / 1e6 + 50);
    }
  }

  @Nested
  class Restart {
    @Test
    void followsALagThatLasts() {
      check(true, 700);
      assertEquals(1, restarts);
    }

    @Test
    void isNotCausedByShortLags() {
      for (int count = 0; count < 10; count++) {
        check(true, 400);
        check(false, 50);
      }
      assertEquals(0, restarts);
    }

    @Test
    void isRepeatedAtMostOnceASecond() {
      check(true, 5_000);
      assertEquals(5, restarts, 1);
    }
  }
}
