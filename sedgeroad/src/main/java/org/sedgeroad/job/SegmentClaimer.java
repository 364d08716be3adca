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
import org.sedgeroad.peer.RendezvousHashing;

/** Claims segments while endpoints have free slots. Used by the runner's thread only. */
final class SegmentClaimer {
  private static final int MAX_PARALLEL_CLAIMS = 4;

  /** Number of items assumed per pending claim, so that parallel claims do not claim too many. */
  private static final int EXPECTED_ITEMS_PER_SEGMENT = 64;

  /** Limits the memory for items when no endpoint can process the held segments. */
  private static final int MAX_HELD_SEGMENTS = 64;

  /**
   * Maximum number of jobs that are searched for segments of a lost holder; each job costs one list
   * call. Only the jobs with the earliest deadlines are searched, since a holder works on those.
   */
  private static final int MAX_SEARCHED_JOBS = 32;

  private static final long SCHEDULE_INTERVAL_NANOS = 100_000_000L;

  private final RunnerState state;
  private final SegmentStore segments;
  private final ItemSender sender;
  private final BackgroundCalls calls;
  private int pendingClaims;
  private final Deque<String> lostHolders = new ArrayDeque<>();
  private boolean countingCancelledJob;
  private boolean findingOrphans;
  private long nextScheduleNanos;

  SegmentClaimer(
      RunnerState state, SegmentStore segments, ItemSender sender, BackgroundCalls calls) {
    this.state = state;
    this.segments = segments;
    this.sender = sender;
    this.calls = calls;
    this.nextScheduleNanos = state.now();
  }

  /** Returns the number of claims in progress. */
  int pendingClaims() {
    return pendingClaims;
  }

  /** Makes the next call of {@link #schedule} look for work at once. */
  void wake() {
    nextScheduleNanos = state.now();
  }

  /** Starts claims for free slots, and the counting of cancelled jobs. */
  void schedule() {
    long now = state.now();
    if (now - nextScheduleNanos < 0) {
      return;
    }
    nextScheduleNanos = now + SCHEDULE_INTERVAL_NANOS;
    countCancelledJob(now);
    findOrphans(now);
    while (pendingClaims < MAX_PARALLEL_CLAIMS
        && state.heldSegments().size() + pendingClaims < MAX_HELD_SEGMENTS) {
      Optional<SegmentKey> orphan = state.planner().nextOrphan();
      if (orphan.isEmpty()) {
        break;
      }
      claim(orphan.get());
    }
    while (pendingClaims < MAX_PARALLEL_CLAIMS
        && state.heldSegments().size() + pendingClaims < MAX_HELD_SEGMENTS
        && freeSlotsWithoutItems() > pendingClaims * EXPECTED_ITEMS_PER_SEGMENT) {
      Optional<SegmentKey> next =
          state
              .planner()
              .next(
                  state.dependencies().membership().liveInstances(),
                  holder -> state.dependencies().leases().isExpired(holder, now),
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
   * Looks for segments of lost holders. Their items would otherwise wait until some instance has
   * more free slots than waiting items. Rendezvous hashing makes one live instance responsible for
   * each lost holder.
   */
  private void findOrphans(long now) {
    lostHolders.addAll(state.dependencies().leases().takeExpired(now));
    if (findingOrphans || lostHolders.isEmpty()) {
      return;
    }
    String holder = lostHolders.poll();
    boolean responsible =
        RendezvousHashing.ranksFirst(
            "takeover/" + holder,
            state.dependencies().instance(),
            state.dependencies().membership().liveInstances());
    if (!responsible
        || holder.equals(state.dependencies().writer().name())
        || sender.freeSlots().isEmpty()) {
      return;
    }
    findingOrphans = true;
    List<String> jobs = state.planner().earliestJobs(MAX_SEARCHED_JOBS);
    calls.call(
        () -> segments.unfinishedSegmentsOf(holder, jobs),
        found -> {
          findingOrphans = false;
          if (found == null) {
            lostHolders.add(holder);
          } else {
            state.planner().addOrphans(found);
          }
        },
        failure -> {
          findingOrphans = false;
          lostHolders.add(holder);
        });
  }

  /** Returns the largest surplus of free slots over waiting items among all services. */
  private int freeSlotsWithoutItems() {
    Map<String, Integer> free = new HashMap<>(sender.freeSlots());
    sender.waitingItems().forEach((service, items) -> free.merge(service, -items, Integer::sum));
    return free.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private void claim(SegmentKey key) {
    pendingClaims++;
    long expiryCount = state.dependencies().leases().expiryCount();
    calls.call(
        () -> segments.claim(key),
        result -> handleClaimResult(key, discardIfLeaseExpired(expiryCount, result)),
        failure -> {
          state.dependencies().log().log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
          handleClaimResult(key, new ClaimResult.Failed(failure.toString()));
        });
  }

  /**
   * Replaces a successful claim by a failure, to be retried, if this instance's lease expired
   * during the claim.
   */
  private ClaimResult discardIfLeaseExpired(long expiryCount, ClaimResult result) {
    boolean stale =
        result instanceof ClaimResult.Claimed
            && state.dependencies().leases().expiryCount() != expiryCount;
    return stale ? new ClaimResult.Failed("the lease ended during the claim") : result;
  }

  private void handleClaimResult(SegmentKey key, ClaimResult result) {
    pendingClaims--;
    long now = state.now();
    if (result instanceof ClaimResult.Claimed claimed) {
      state.planner().markClaimed(key);
      HeldSegment held =
          new HeldSegment(
              claimed.job(), claimed.segment(), claimed.version(), claimed.items(), now);
      held.setTakenOver(claimed.takenOver());
      state.add(held);
      if (isCancelled(key.jobId())) {
        held.cancel();
      }
      state
          .dependencies()
          .log()
          .log(
              claimed.takenOver() ? LogEvent.SEGMENT_TAKEN_OVER : LogEvent.SEGMENT_CLAIMED,
              EventField.of("segment", key.toName()));
    } else if (result instanceof ClaimResult.HeldByOther other) {
      state.planner().markHeldByOther(key, other.holder(), now);
    } else if (result instanceof ClaimResult.Failed) {
      state.planner().retryAt(key, now + ClaimPlanner.CLAIM_RETRY_NANOS);
    }
    wake();
  }

  /** Returns whether the job is cancelled in the replica, which may be newer than the claim. */
  private boolean isCancelled(String jobId) {
    return state
        .dependencies()
        .replica()
        .find(Kinds.JOBS, jobId)
        .map(object -> object.spec().path("state").asText())
        .filter(JobState.CANCELLED.name()::equals)
        .isPresent();
  }

  private void countCancelledJob(long now) {
    if (countingCancelledJob) {
      return;
    }
    state
        .planner()
        .nextCancelledJob(now)
        .ifPresent(
            jobId -> {
              countingCancelledJob = true;
              calls.call(
                  () -> segments.countCancelledJob(jobId),
                  counted -> {
                    countingCancelledJob = false;
                    if (counted) {
                      state.planner().remove(jobId);
                    }
                  },
                  failure -> countingCancelledJob = false);
            });
  }
}
