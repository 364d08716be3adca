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
import org.sedgeroad.peer.RendezvousHashing;

/**
 * Decides which segment to claim next. Keeps only accepted jobs, and cancelled jobs whose counts do
 * not yet include all segments; does no I/O and reads no clock. Used by one thread only.
 *
 * <p>Preferred segments, for which rendezvous hashing ranks this instance first, come before all
 * others; within each group, those of the job with the earliest deadline come first. A segment held
 * by another instance is skipped until that instance's lease has expired, or until a long pause has
 * passed, since a holder may also release it.
 */
final class ClaimPlanner {
  /** Pause before a failed claim of a segment is retried. */
  static final long CLAIM_RETRY_NANOS = 500_000_000L;

  /** Pause before a segment that another live instance holds is tried again. */
  static final long HELD_PAUSE_NANOS = 30_000_000_000L;

  /**
   * Delay before an instance first tries to add the missing segments to the counts of a cancelled
   * job, and between such attempts.
   */
  private static final long CANCELLED_COUNT_DELAY_NANOS = 2_000_000_000L;

  private final Map<String, JobClaims> jobs = new HashMap<>();
  private final TreeSet<JobClaims> byDeadline =
      new TreeSet<>(
          Comparator.comparing((JobClaims claims) -> claims.job.deadline())
              .thenComparing(claims -> claims.job.id()));
  private final Map<String, Long> nextCountAttemptNanos = new HashMap<>();
  private final String instance;
  private List<String> lastLiveInstances = List.of();

  ClaimPlanner(String instance) {
    this.instance = instance;
  }

  /** Applies a new version of a job. A job with nothing left to do is removed. */
  void update(Job job, long nowNanos) {
    if (job.state() == JobState.CANCELLED && !job.isCounted()) {
      removeClaims(job.id());
      nextCountAttemptNanos.putIfAbsent(job.id(), nowNanos + cancelledCountDelayNanos(job.id()));
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

  /** Removes a job. */
  void remove(String jobId) {
    removeClaims(jobId);
    nextCountAttemptNanos.remove(jobId);
  }

  /** Returns the number of jobs that this planner keeps. */
  int size() {
    return jobs.size() + nextCountAttemptNanos.size();
  }

  private void removeClaims(String jobId) {
    JobClaims claims = jobs.remove(jobId);
    if (claims != null) {
      byDeadline.remove(claims);
    }
  }

  /**
   * Removes and returns the segment to claim next. It is returned again only after {@link #retryAt}
   * or {@link #markHeldByOther} has put it back.
   *
   * @param leaseExpired whether the lease of a holder has expired
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
      if (!claims.claimable.isEmpty() && nowNanos - claims.nonPreferredAllowedAtNanos >= 0) {
        // Each instance starts at a different index, so that few claims conflict.
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

  /**
   * Adds segments of a lost holder, which {@link #nextOrphan} then returns. Segments that this
   * instance holds or is claiming are ignored.
   */
  void addOrphans(List<SegmentKey> keys) {
    for (SegmentKey key : keys) {
      JobClaims claims = jobs.get(key.jobId());
      if (claims != null && claims.isClaimableOrPaused(key.index())) {
        claims.paused.remove(key.index());
        claims.claimable.clear(key.index());
        claims.orphans.set(key.index());
      }
    }
  }

  /**
   * Removes and returns a segment of a lost holder. {@link #next} returns it again after {@link
   * #retryAt} or {@link #markHeldByOther} has put it back.
   */
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

  /** Makes a segment claimable again at the given time. */
  void retryAt(SegmentKey key, long nanos) {
    JobClaims claims = jobs.get(key.jobId());
    if (claims != null) {
      claims.pause(key.index(), "", nanos);
    }
  }

  /**
   * Skips a segment until its holder's lease has expired or a long pause has passed. Each conflict
   * also doubles the time for which non-preferred segments of the job are not claimed, up to a
   * limit.
   */
  void markHeldByOther(SegmentKey key, String holder, long nowNanos) {
    JobClaims claims = jobs.get(key.jobId());
    if (claims != null) {
      claims.pause(key.index(), holder, nowNanos + HELD_PAUSE_NANOS);
      claims.conflicts = Math.min(claims.conflicts + 1, 6);
      claims.nonPreferredAllowedAtNanos = nowNanos + (CLAIM_RETRY_NANOS / 2 << claims.conflicts);
    }
  }

  /** Records a successful claim, which resets the count of conflicts. */
  void markClaimed(SegmentKey key) {
    JobClaims claims = jobs.get(key.jobId());
    if (claims != null) {
      claims.conflicts = 0;
    }
  }

  /** Returns a cancelled job whose counts are due to be completed, and sets the next attempt. */
  Optional<String> nextCancelledJob(long nowNanos) {
    for (Iterator<Map.Entry<String, Long>> each = nextCountAttemptNanos.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<String, Long> entry = each.next();
      if (nowNanos - entry.getValue() >= 0) {
        entry.setValue(nowNanos + cancelledCountDelayNanos(entry.getKey()));
        return Optional.of(entry.getKey());
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the delay before the next attempt to complete the counts of a job. It is four times as
   * long if rendezvous hashing does not rank this instance first.
   */
  private long cancelledCountDelayNanos(String jobId) {
    return RendezvousHashing.ranksFirst(jobId, instance, lastLiveInstances)
        ? CANCELLED_COUNT_DELAY_NANOS
        : 4 * CANCELLED_COUNT_DELAY_NANOS;
  }

  /** Tracks which segments of a job may be claimed. */
  private static final class JobClaims {
    private final Job job;
    private final BitSet claimable;
    private final BitSet orphans = new BitSet();
    private final Map<Integer, Pause> paused = new HashMap<>();
    private BitSet preferred;
    private BitSet finished = new BitSet();
    private int conflicts;
    private long nonPreferredAllowedAtNanos;
    private long nextPauseCheckNanos;

    JobClaims(Job job, long nowNanos) {
      this.job = job;
      this.claimable = new BitSet(job.segmentCount());
      this.nonPreferredAllowedAtNanos = nowNanos;
      this.nextPauseCheckNanos = nowNanos;
      claimable.set(0, job.segmentCount());
    }

    void setFinished(BitSet segments) {
      finished = segments;
      claimable.andNot(segments);
      orphans.andNot(segments);
      paused.keySet().removeIf(segments::get);
    }

    /**
     * Returns whether a segment may be claimed now or after a pause. It may not if this instance
     * holds it or is claiming it, or if it is finished or an orphan already.
     */
    boolean isClaimableOrPaused(int index) {
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

    /**
     * Makes segments claimable whose pause has ended or whose holder's lease has expired. Each
     * lease is checked once per call.
     */
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
          nonPreferredAllowedAtNanos = nowNanos;
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
          preferred.set(index, RendezvousHashing.ranksFirst(name, instance, liveInstances));
        }
      }
      return preferred;
    }
  }

  /** Time until which a segment is skipped, and its holder, empty if no other instance holds it. */
  private record Pause(String holder, long untilNanos) {}
}
