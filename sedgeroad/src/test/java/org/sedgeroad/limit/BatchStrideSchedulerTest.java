package org.sedgeroad.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BatchStrideSchedulerTest {
  private final BatchStrideScheduler scheduler = new BatchStrideScheduler();

  @Nested
  class Shares {

    /** Guards against a member above its share while another one waits below its own. */
    @Test
    void memberStaysWithinItsShareWhileOthersWait() {
      Random random = new Random(5);
      Deque<WaitingMember> running = new ArrayDeque<>();
      long capacity = 10_000;
      for (int i = 0; i < 20_000; i++) {
        List<WaitingMember> waiting =
            List.of(
                new WaitingMember("a", 30, 9, 1 + random.nextInt(100)),
                new WaitingMember("b", 70, 1, 1 + random.nextInt(100)));
        if (scheduler.held("a") + scheduler.held("b") + 100 <= capacity) {
          String next = scheduler.next(waiting, capacity).orElseThrow();
          WaitingMember chosen = waiting.get(next.equals("a") ? 0 : 1);
          scheduler.started(chosen);
          running.add(chosen);
        } else {
          WaitingMember done = running.remove();
          scheduler.ended(done.member(), done.nextTokens());
        }
        // The remainder of a share, up to 100 tokens, may be too small for the next item.
        assertTrue(scheduler.held("a") <= 3_000 + 100, "a holds " + scheduler.held("a"));
      }
    }

    /** Guards against capacity that stays idle although a single member has work. */
    @Test
    void soleWaitingMemberMayExceedItsShare() {
      WaitingMember only = new WaitingMember("a", 10, 5, 100);
      for (int i = 0; i < 10; i++) {
        assertEquals(Optional.of("a"), scheduler.next(List.of(only), 1_000));
        scheduler.started(only);
      }
    }
  }

  @Nested
  class Priorities {

    /**
     * Guards against scheduling that ignores priorities or starves the member of lower priority.
     */
    @Test
    void startedItemsFollowThePriority() {
      Map<String, Integer> started = new TreeMap<>();
      List<WaitingMember> waiting =
          List.of(new WaitingMember("a", 100, 6, 10), new WaitingMember("b", 100, 2, 10));
      for (int i = 0; i < 800; i++) {
        String next = scheduler.next(waiting, 1_000_000).orElseThrow();
        scheduler.started(waiting.get(next.equals("a") ? 0 : 1));
        started.merge(next, 1, Integer::sum);
      }
      assertEquals(600, started.get("a"), 2);
      assertEquals(200, started.get("b"), 2);
    }
  }
}
