package org.sedgeroad.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.peer.RendezvousHashing;

/**
 * Guards against claims in the wrong order, claims of segments that another live instance holds,
 * and memory that grows with finished jobs.
 */
class ClaimPlannerTest {
  private static final List<String> LIVE = List.of("entry-1", "entry-2");
  private static final long SECOND = 1_000_000_000L;

  private final ClaimPlanner planner = new ClaimPlanner("entry-1");

  private static Job job(String id, int segments, long deadlineSeconds) {
    return new Job(
        id,
        "taller-lenga",
        "file-1",
        "/v1/completions",
        "24h",
        Instant.EPOCH,
        Instant.ofEpochSecond(deadlineSeconds),
        segments,
        segments,
        JobState.ACCEPTED,
        null,
        "0",
        ItemCounts.ZERO,
        JsonNodeFactory.instance.objectNode());
  }

  private Optional<SegmentKey> next(long now) {
    return planner.next(LIVE, holder -> holder.equals("lost#1"), now);
  }

  @Nested
  class Next {
    @Test
    void returnsPreferredSegmentsByDeadlineThenOthersAndEachOnce() {
      planner.update(job("late", 20, 9), 0);
      planner.update(job("early", 20, 1), 0);
      Set<SegmentKey> returned = new HashSet<>();
      int lastGroup = 0;
      for (Optional<SegmentKey> key = next(0); key.isPresent(); key = next(0)) {
        boolean preferred = RendezvousHashing.ranksFirst(key.get().toName(), "entry-1", LIVE);
        int group = (preferred ? 0 : 2) + (key.get().jobId().equals("early") ? 0 : 1);
        assertTrue(group >= lastGroup, () -> "out of order: " + returned);
        lastGroup = group;
        assertTrue(returned.add(key.get()), "returned twice");
      }
      assertEquals(40, returned.size());
    }

    @Test
    void skipsAHeldSegmentUntilThePauseEndsOrItsHolderIsLost() {
      planner.update(job("a", 1, 1), 0);
      SegmentKey key = next(0).orElseThrow();
      planner.markHeldByOther(key, "live#1", 0);
      assertEquals(Optional.empty(), next(20 * SECOND));
      assertEquals(Optional.of(key), next(ClaimPlanner.HELD_PAUSE_NANOS));
      planner.markHeldByOther(key, "lost#1", ClaimPlanner.HELD_PAUSE_NANOS);
      assertEquals(Optional.of(key), next(ClaimPlanner.HELD_PAUSE_NANOS + SECOND));
    }

    @Test
    void removesFinishedSegmentsAndJobs() {
      Job job = job("a", 2, 1);
      planner.update(job, 0);
      Job counted = job.withFinished(0, ItemCounts.ZERO, Instant.EPOCH);
      planner.update(counted, 0);
      assertEquals(Optional.of(new SegmentKey("a", 1)), next(0));
      planner.update(counted.withFinished(1, ItemCounts.ZERO, Instant.EPOCH), 0);
      assertEquals(0, planner.size());
    }
  }

  @Nested
  class NextCancelledJob {
    @Test
    void returnsACancelledJobUntilItIsCounted() {
      Job cancelled = job("a", 3, 1).withCancelled(Instant.EPOCH);
      planner.update(cancelled, 0);
      assertEquals(Optional.empty(), planner.nextCancelledJob(SECOND));
      assertEquals(Optional.of("a"), planner.nextCancelledJob(60 * SECOND));
      Job counted = cancelled.withAllCounted(new ItemCounts(1, 0, 1, 0));
      assertEquals(new ItemCounts(1, 0, 2, 0), counted.counts());
      planner.update(counted, 0);
      assertEquals(0, planner.size());
    }
  }
}
