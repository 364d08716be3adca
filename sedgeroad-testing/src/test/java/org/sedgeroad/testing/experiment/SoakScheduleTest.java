package org.sedgeroad.testing.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SoakScheduleTest {
  @Nested
  class Of {
    /** Guards against a soak that can't be reproduced from its seed. */
    @Test
    void isAFunctionOfTheSeed() {
      assertEquals(SoakSchedule.of(9, 60), SoakSchedule.of(9, 60));
      assertNotEquals(SoakSchedule.of(9, 60), SoakSchedule.of(10, 60));
    }

    /** Guards against a longer soak that doesn't begin with the steps of a shorter one. */
    @Test
    void longerSoakBeginsWithTheShorterOne() {
      List<SoakStep> shorter = SoakSchedule.of(9, 30);
      assertEquals(shorter, SoakSchedule.of(9, 60).subList(0, shorter.size()));
    }

    /** Guards against an action that never occurs. */
    @Test
    void allActionsOccur() {
      EnumSet<SoakAction> seen = EnumSet.noneOf(SoakAction.class);
      SoakSchedule.of(1, 600).forEach(step -> seen.add(step.action()));
      assertEquals(EnumSet.allOf(SoakAction.class), seen);
    }
  }
}
