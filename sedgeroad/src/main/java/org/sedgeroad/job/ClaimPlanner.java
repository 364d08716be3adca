package org.sedgeroad.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.sedgeroad.peer.Rendezvous;

/**
 * Decides which segment to claim next. Holds unfinished jobs only; does no I/O and reads no clock.
 * Used by one thread only.
 *
 * <p>Segments for which the instance wins the rendezvous hash come first, earliest job deadline
 * first; then the others. A segment held by another instance is left alone until that instance's
 * lease has expired, or until a long pause has passed, since a holder may also give it back.
 */
final class ClaimPlanner {
  /** Pause before a segment that failed to be claimed is tried again. */
  static final long CLAIM_RETRY_NANOS = 500_000_000L;

  /** Pause before a segment of a live holder is tried again. */
  static final long HELD_PAUSE_NANOS = 30_000_000_000L;

  private static final long CANCELLED_COUNT_DELAY_NANOS = 2_000_000_000L;

  private final Map<String, JobClaims> jobs = new HashMap<>();
  private final TreeSet<JobClaims> byDeadline =
      new TreeSet<>(
          Comparator.comparing((JobClaims claims) -> claims.job.deadline())
              .thenComparing(claims -> claims.job.id()));
  private final Map<String, Long> cancelledCountAtNanos = new HashMap<>();
  private final String instance;
  private List<String> lastLiveInstances = List.of();

  ClaimPlanner(String instance) {
    this.instance = instance;
  }

  // -----------------------------------------------------------------------

  /** Takes in a version of a job; finished ones are forgotten. */
  void update(Job job, long nowNanos) {
    if (job.state() == JobState.CANCELLED && !job.isCounted()) {
      removeClaims(job.id());
      cancelledCountAtNanos.putIfAbsent(job.id(), nowNanos + cancelledCountDelayNanos(job.id()));
    } else if (job.state() != JobState.ACCEPTED) {
      remove(job.id());
    } else {
      JobClaims claims =
          jobs.computeIfAbsent(
              job.id(),
              id -> {
                JobClaims added = new JobClaims(job, nowNanos);
                byDeadline.add(added);
                return added;
              });
      claims.setFinished(job.finishedSegments());
    }
  }

  /** Forgets a job. */
  void remove(String jobId) {
    removeClaims(jobId);
    cancelledCountAtNanos.remove(jobId);
  }

  /** Returns the number of jobs held in memory. */
  int size() {
    return jobs.size() + cancelledCountAtNanos.size();
  }

  private void removeClaims(String jobId) {
    JobClaims claims = jobs.remove(jobId);
    if (claims != null) {
      byDeadline.remove(claims);
    }
  }

  // -----------------------------------------------------------------------

  /**
   * Removes and returns the segment to claim next. It stays out until {@link #retryAt}, {@link
   * #markHeldByOther} or a new job version brings it back.
   */
  Optional<SegmentKey> next(
      List<String> liveInstances, Predicate<String> leaseExpired, long nowNanos) {
    if (!lastLiveInstances.equals(liveInstances)) {
      lastLiveInstances = List.copyOf(liveInstances);
      jobs.values().forEach(claims -> claims.preferred = null);
    }
    for (JobClaims claims : byDeadline) {
      claims.reopenPaused(leaseExpired, nowNanos);
    }
    for (JobClaims claims : byDeadline) {
      if (!claims.claimable.isEmpty()) {
        BitSet preferred = (BitSet) claims.preferred(instance, lastLiveInstances).clone();
        preferred.and(claims.claimable);
        if (!preferred.isEmpty()) {
          return Optional.of(claims.take(preferred.nextSetBit(0)));
        }
      }
    }
    for (JobClaims claims : byDeadline) {
      if (!claims.claimable.isEmpty() && nowNanos - claims.nonPreferredAtNanos >= 0) {
        // Starts at a different place on each instance, so that few collide.
        int from = Math.floorMod(instance.hashCode() * 31, claims.job.segmentCount());
        int index = claims.claimable.nextSetBit(from);
        return Optional.of(claims.take(index < 0 ? claims.claimable.nextSetBit(0) : index));
      }
    }
    return Optional.empty();
  }

  /** Returns the ids of the unfinished jobs with the earliest deadlines. */
  List<String> earliestJobs(int limit) {
    return byDeadline.stream().limit(limit).map(claims -> claims.job.id()).toList();
  }

  /** Makes segments of a lost holder the next ones to claim. */
  void addOrphans(List<SegmentKey> keys) {
    for (SegmentKey key : keys) {
      JobClaims claims = jobs.get(key.jobId());
      if (claims != null && claims.isIdle(key.index())) {
        claims.paused.remove(key.index());
        claims.claimable.clear(key.index());
        claims.orphans.set(key.index());
      }
    }
  }

  /** Removes and returns a segment of a lost holder, as {@link #next} does. */
  Optional<SegmentKey> nextOrphan() {
    for (JobClaims claims : byDeadline) {
      if (!claims.orphans.isEmpty()) {
        int index = claims.orphans.nextSetBit(0);
        claims.orphans.clear(index);
        return Optional.of(new SegmentKey(claims.job.id(), index));
      }
    }
    return Optional.empty();
  }

  /** Tries a segment again at the given time. */
  void retryAt(SegmentKey key, long nanos) {
    JobClaims claims = jobs.get(key.jobId());
    if (claims != null) {
      claims.pause(key.index(), "", nanos);
    }
  }

  /** Leaves a segment to its holder until the holder's lease has expired. */
  void markHeldByOther(SegmentKey key, String holder, long nowNanos) {
    JobClaims claims = jobs.get(key.jobId());
    if (claims != null) {
      claims.pause(key.index(), holder, nowNanos + HELD_PAUSE_NANOS);
      claims.conflicts = Math.min(claims.conflicts + 1, 6);
      claims.nonPreferredAtNanos = nowNanos + (CLAIM_RETRY_NANOS / 2 << claims.conflicts);
    }
  }

  /** Records a successful claim. */
  void markClaimed(SegmentKey key) {
    JobClaims claims = jobs.get(key.jobId());
    if (claims != null) {
      claims.conflicts = 0;
    }
  }

  // -----------------------------------------------------------------------

  /** Removes and returns a cancelled job whose counts must be completed. */
  Optional<String> nextCancelledJob(long nowNanos) {
    for (Iterator<Map.Entry<String, Long>> each = cancelledCountAtNanos.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<String, Long> entry = each.next();
      if (nowNanos - entry.getValue() >= 0) {
        entry.setValue(nowNanos + cancelledCountDelayNanos(entry.getKey()));
        return Optional.of(entry.getKey());
      }
    }
    return Optional.empty();
  }

  /** Returns a longer pause for an instance that is not the first choice for a job. */
  private long cancelledCountDelayNanos(String jobId) {
    return Rendezvous.isFirst(jobId, instance, lastLiveInstances)
        ? CANCELLED_COUNT_DELAY_NANOS
        : 4 * CANCELLED_COUNT_DELAY_NANOS;
  }

  /** Claimable segments of one job. */
  private static final class JobClaims {
    private final Job job;
    private final BitSet claimable;
    private final BitSet orphans = new BitSet();
    private final Map<Integer, Pause> paused = new HashMap<>();
    private BitSet preferred;
    private BitSet finished = new BitSet();
    private int conflicts;
    private long nonPreferredAtNanos;
    private long nextPauseCheckNanos;

    JobClaims(Job job, long nowNanos) {
      this.job = job;
      this.claimable = new BitSet(job.segmentCount());
      this.nonPreferredAtNanos = nowNanos;
      this.nextPauseCheckNanos = nowNanos;
      claimable.set(0, job.segmentCount());
    }

    void setFinished(BitSet segments) {
      finished = segments;
      claimable.andNot(segments);
      orphans.andNot(segments);
      paused.keySet().removeIf(segments::get);
    }

    /** Returns whether no claim is under way and this instance does not hold the segment. */
    boolean isIdle(int index) {
      return claimable.get(index) || paused.containsKey(index);
    }

    SegmentKey take(int index) {
      claimable.clear(index);
      return new SegmentKey(job.id(), index);
    }

    void pause(int index, String holder, long untilNanos) {
      if (!finished.get(index)) {
        paused.put(index, new Pause(holder, untilNanos));
      }
    }

    /** Opens segments whose pause has ended; asks about each holder once. */
    void reopenPaused(Predicate<String> leaseExpired, long nowNanos) {
      if (paused.isEmpty() || nowNanos - nextPauseCheckNanos < 0) {
        return;
      }
      nextPauseCheckNanos = nowNanos + CLAIM_RETRY_NANOS / 4;
      Map<String, Boolean> expiredByHolder = new HashMap<>();
      expiredByHolder.put("", false);
      for (Map.Entry<Integer, Pause> entry : new ArrayList<>(paused.entrySet())) {
        Pause pause = entry.getValue();
        if (nowNanos - pause.untilNanos() >= 0) {
          reopen(entry.getKey());
        } else if (expiredByHolder.computeIfAbsent(pause.holder(), leaseExpired::test)) {
          nonPreferredAtNanos = nowNanos;
          reopen(entry.getKey());
        }
      }
    }

    private void reopen(int index) {
      paused.remove(index);
      claimable.set(index);
    }

    BitSet preferred(String instance, List<String> liveInstances) {
      if (preferred == null) {
        preferred = new BitSet(job.segmentCount());
        for (int index = 0; index < job.segmentCount(); index++) {
          String name = new SegmentKey(job.id(), index).toName();
          preferred.set(index, Rendezvous.isFirst(name, instance, liveInstances));
        }
      }
      return preferred;
    }
  }

  /** The time until which a segment is left alone, and its holder if another instance has it. */
  private record Pause(String holder, long untilNanos) {}
}
