package org.sedgeroad.testing.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ArrivalsTest {
  @Nested
  class Poisson {
    /** Guards against a run that can't be repeated from its seed. */
    @Test
    void sameSeedGivesSameRequests() {
      List<Long> arrivals = Arrivals.poisson(7, 100, 3);
      assertEquals(arrivals, Arrivals.poisson(7, 100, 3));
      assertNotEquals(arrivals, Arrivals.poisson(8, 100, 3));
      assertEquals(
          PlannedRequest.plan(7, "a", arrivals, LengthMix.ASSISTANT),
          PlannedRequest.plan(7, "a", arrivals, LengthMix.ASSISTANT));
    }

    /** Guards against a wrong rate or arrivals beyond the end. */
    @Test
    void rateAndEndAreKept() {
      List<Long> arrivals = Arrivals.poisson(1, 1_000, 10);
      assertEquals(10_000, arrivals.size(), 400);
      assertEquals(arrivals.stream().sorted().toList(), arrivals);
      assertEquals(0, arrivals.stream().filter(time -> time >= 10_000_000_000L).count());
    }
  }

  @Nested
  class Bursts {
    /** Guards against arrivals in the idle time between bursts. */
    @Test
    void arrivalsLieWithinTheirBurst() {
      List<Long> arrivals = Arrivals.bursts(3, 2, 5, 10, 1);
      assertEquals(5, arrivals.stream().filter(time -> time < 10_000_000L).count());
      assertEquals(10, arrivals.size());
      assertEquals(5, arrivals.stream().filter(time -> time >= 1_000_000_000L).count());
    }
  }

  @Nested
  class Mix {
    /** Guards against long requests in a mix that change the lengths of the short ones. */
    @Test
    void longRequestsLeaveTheOthersUnchanged() {
      List<Long> arrivals = Arrivals.poisson(5, 100, 20);
      var without = PlannedRequest.plan(5, "a", arrivals, LengthMix.ASSISTANT);
      var with = PlannedRequest.plan(5, "a", arrivals, LengthMix.ASSISTANT.withLong(0.02, 30));
      long changed = 0;
      for (int index = 0; index < with.size(); index++) {
        if (with.get(index).isLong()) {
          assertEquals(without.get(index).answerTokens() * 30, with.get(index).answerTokens());
          changed++;
        } else {
          assertEquals(without.get(index), with.get(index));
        }
      }
      assertEquals(0.02, (double) changed / with.size(), 0.015);
    }
  }
}
