package org.sedgeroad.job;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.peer.Rendezvous;

/** Claims segments while endpoints have room for more. Used by the runner's thread only. */
final class SegmentClaimer {
  private static final int PARALLEL_CLAIMS = 4;

  /** Items that a segment is expected to bring, so that several claims do not overshoot. */
  private static final int EXPECTED_ITEMS = 64;

  /** Bounds the items in memory when no endpoint can serve the segments that are held. */
  private static final int HELD_LIMIT = 64;

  /** A lost holder worked on the jobs with the earliest deadlines; one list call for each. */
  private static final int SEARCHED_JOBS = 32;

  private static final long EMPTY_PAUSE_NANOS = 100_000_000L;

  private final RunnerState state;
  private final SegmentStore segments;
  private final ItemSender sender;
  private final BackgroundCalls calls;
  private int claiming;
  private final Deque<String> lost = new ArrayDeque<>();
  private boolean settling;
  private boolean finding;
  private long notBeforeNanos;

  SegmentClaimer(
      RunnerState state, SegmentStore segments, ItemSender sender, BackgroundCalls calls) {
    this.state = state;
    this.segments = segments;
    this.sender = sender;
    this.calls = calls;
    this.notBeforeNanos = state.now();
  }

  // -----------------------------------------------------------------------

  /** Returns the number of claims without an outcome. */
  int claiming() {
    return claiming;
  }

  /** Looks for work at the next round. */
  void wake() {
    notBeforeNanos = state.now();
  }

  /** Starts claims for which there is room, and the counting of cancelled jobs. */
  void schedule() {
    long now = state.now();
    if (now - notBeforeNanos < 0) {
      return;
    }
    notBeforeNanos = now + EMPTY_PAUSE_NANOS;
    settle(now);
    findOrphans(now);
    while (claiming < PARALLEL_CLAIMS && state.held().size() + claiming < HELD_LIMIT) {
      Optional<SegmentKey> orphan = state.planner().nextOrphan();
      if (orphan.isEmpty()) {
        break;
      }
      claim(orphan.get());
    }
    while (claiming < PARALLEL_CLAIMS
        && state.held().size() + claiming < HELD_LIMIT
        && missingItems() > claiming * EXPECTED_ITEMS) {
      Optional<SegmentKey> next =
          state
              .planner()
              .next(
                  state.parts().membership().liveInstances(),
                  holder -> state.parts().leases().isExpired(holder, now),
                  now);
      if (next.isEmpty()) {
        return;
      }
      if (!state.holds(next.get())) {
        claim(next.get());
      }
    }
  }

  /**
   * Looks for the segments of holders that are lost, so that their items do not wait until some
   * instance happens to need work. Of the live instances, one looks for each holder.
   */
  private void findOrphans(long now) {
    lost.addAll(state.parts().leases().takeExpired(now));
    if (finding || lost.isEmpty()) {
      return;
    }
    String holder = lost.poll();
    boolean first =
        Rendezvous.isFirst(
            "takeover/" + holder,
            state.parts().instance(),
            state.parts().membership().liveInstances());
    if (!first || holder.equals(state.parts().writer().name()) || sender.freeSlots().isEmpty()) {
      return;
    }
    finding = true;
    List<String> jobs = state.planner().earliestJobs(SEARCHED_JOBS);
    calls.call(
        () -> segments.heldBy(holder, jobs),
        found -> {
          finding = false;
          if (found == null) {
            lost.add(holder);
          } else {
            state.planner().orphaned(found);
          }
        },
        failure -> {
          finding = false;
          lost.add(holder);
        });
  }

  /** Returns the largest number of free slots of a service that no waiting item will use. */
  private int missingItems() {
    Map<String, Integer> missing = new HashMap<>(sender.freeSlots());
    sender.waitingItems().forEach((service, items) -> missing.merge(service, -items, Integer::sum));
    return missing.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private void claim(SegmentKey key) {
    claiming++;
    long lapses = state.parts().leases().lapses();
    calls.call(
        () -> segments.claim(key),
        result -> claimed(key, afterLapses(lapses, result)),
        failure -> {
          state.parts().log().log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
          claimed(key, new ClaimResult.Failed(failure.toString()));
        });
  }

  /** Drops a claim that was made under a lease that has ended since; it is made again. */
  private ClaimResult afterLapses(long lapses, ClaimResult result) {
    boolean stale =
        result instanceof ClaimResult.Claimed && state.parts().leases().lapses() != lapses;
    return stale ? new ClaimResult.Failed("the lease ended during the claim") : result;
  }

  private void claimed(SegmentKey key, ClaimResult result) {
    claiming--;
    long now = state.now();
    if (result instanceof ClaimResult.Claimed claimed) {
      state.planner().claimed(key);
      HeldSegment held =
          new HeldSegment(
              claimed.job(), claimed.segment(), claimed.version(), claimed.items(), now);
      held.markTakenOver(claimed.takenOver());
      state.add(held);
      if (isCancelled(key.jobId())) {
        held.cancel();
      }
      state
          .parts()
          .log()
          .log(
              claimed.takenOver() ? LogEvent.SEGMENT_TAKEN_OVER : LogEvent.SEGMENT_CLAIMED,
              EventField.of("segment", key.toName()));
    } else if (result instanceof ClaimResult.HeldByOther other) {
      state.planner().heldBy(key, other.holder(), now);
    } else if (result instanceof ClaimResult.Failed) {
      state.planner().retryAt(key, now + ClaimPlanner.RETRY_NANOS);
    }
    wake();
  }

  /** Returns whether the job is known to be cancelled, as it may be since the claim read it. */
  private boolean isCancelled(String jobId) {
    return state
        .parts()
        .replica()
        .find(Kinds.JOBS, jobId)
        .map(object -> object.spec().path("state").asText())
        .filter(JobState.CANCELLED.name()::equals)
        .isPresent();
  }

  private void settle(long now) {
    if (settling) {
      return;
    }
    state
        .planner()
        .nextSettlement(now)
        .ifPresent(
            jobId -> {
              settling = true;
              calls.call(
                  () -> segments.settleCancelled(jobId),
                  counted -> {
                    settling = false;
                    if (counted) {
                      state.planner().remove(jobId);
                    }
                  },
                  failure -> settling = false);
            });
  }
}
