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
  static final long RETRY_NANOS = 500_000_000L;

  /** Pause before a segment of a live holder is tried again. */
  static final long HELD_NANOS = 30_000_000_000L;

  private static final long SETTLE_NANOS = 2_000_000_000L;

  private final Map<String, JobClaims> jobs = new HashMap<>();
  private final TreeSet<JobClaims> accepted =
      new TreeSet<>(
          Comparator.comparing((JobClaims claims) -> claims.job.deadline())
              .thenComparing(claims -> claims.job.id()));
  private final Map<String, Long> settleAt = new HashMap<>();
  private final String instance;
  private List<String> live = List.of();

  ClaimPlanner(String instance) {
    this.instance = instance;
  }

  // -----------------------------------------------------------------------

  /** Takes in a version of a job; finished ones are forgotten. */
  void update(Job job, long nowNanos) {
    if (job.state() == JobState.CANCELLED && !job.isCounted()) {
      forgetClaims(job.id());
      settleAt.putIfAbsent(job.id(), nowNanos + settlePause(job.id()));
    } else if (job.state() != JobState.ACCEPTED) {
      remove(job.id());
    } else {
      JobClaims claims =
          jobs.computeIfAbsent(
              job.id(),
              id -> {
                JobClaims added = new JobClaims(job, nowNanos);
                accepted.add(added);
                return added;
              });
      claims.finish(job.finishedSegments());
    }
  }

  /** Forgets a job. */
  void remove(String jobId) {
    forgetClaims(jobId);
    settleAt.remove(jobId);
  }

  /** Returns the number of jobs held in memory. */
  int size() {
    return jobs.size() + settleAt.size();
  }

  private void forgetClaims(String jobId) {
    JobClaims claims = jobs.remove(jobId);
    if (claims != null) {
      accepted.remove(claims);
    }
  }

  // -----------------------------------------------------------------------

  /**
   * Removes and returns the segment to claim next. It stays out until {@link #retryAt}, {@link
   * #heldBy} or a new job version brings it back.
   */
  Optional<SegmentKey> next(List<String> liveInstances, Predicate<String> expired, long nowNanos) {
    if (!live.equals(liveInstances)) {
      live = List.copyOf(liveInstances);
      jobs.values().forEach(claims -> claims.own = null);
    }
    for (JobClaims claims : accepted) {
      claims.resume(expired, nowNanos);
    }
    for (JobClaims claims : accepted) {
      if (!claims.open.isEmpty()) {
        BitSet own = (BitSet) claims.own(instance, live).clone();
        own.and(claims.open);
        if (!own.isEmpty()) {
          return Optional.of(claims.take(own.nextSetBit(0)));
        }
      }
    }
    for (JobClaims claims : accepted) {
      if (!claims.open.isEmpty() && nowNanos - claims.othersAtNanos >= 0) {
        // Starts at a different place on each instance, so that few collide.
        int from = Math.floorMod(instance.hashCode() * 31, claims.job.segmentCount());
        int index = claims.open.nextSetBit(from);
        return Optional.of(claims.take(index < 0 ? claims.open.nextSetBit(0) : index));
      }
    }
    return Optional.empty();
  }

  /** Returns the ids of the unfinished jobs with the earliest deadlines. */
  List<String> earliestJobs(int limit) {
    return accepted.stream().limit(limit).map(claims -> claims.job.id()).toList();
  }

  /** Makes segments of a lost holder the next ones to claim. */
  void orphaned(List<SegmentKey> keys) {
    for (SegmentKey key : keys) {
      JobClaims claims = jobs.get(key.jobId());
      if (claims != null && claims.isIdle(key.index())) {
        claims.paused.remove(key.index());
        claims.open.clear(key.index());
        claims.orphans.set(key.index());
      }
    }
  }

  /** Removes and returns a segment of a lost holder, as {@link #next} does. */
  Optional<SegmentKey> nextOrphan() {
    for (JobClaims claims : accepted) {
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
  void heldBy(SegmentKey key, String holder, long nowNanos) {
    JobClaims claims = jobs.get(key.jobId());
    if (claims != null) {
      claims.pause(key.index(), holder, nowNanos + HELD_NANOS);
      claims.conflicts = Math.min(claims.conflicts + 1, 6);
      claims.othersAtNanos = nowNanos + (RETRY_NANOS / 2 << claims.conflicts);
    }
  }

  /** Records a successful claim. */
  void claimed(SegmentKey key) {
    JobClaims claims = jobs.get(key.jobId());
    if (claims != null) {
      claims.conflicts = 0;
    }
  }

  // -----------------------------------------------------------------------

  /** Removes and returns a cancelled job whose counts must be completed. */
  Optional<String> nextSettlement(long nowNanos) {
    for (Iterator<Map.Entry<String, Long>> each = settleAt.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<String, Long> entry = each.next();
      if (nowNanos - entry.getValue() >= 0) {
        entry.setValue(nowNanos + settlePause(entry.getKey()));
        return Optional.of(entry.getKey());
      }
    }
    return Optional.empty();
  }

  /** Returns a longer pause for an instance that is not the first choice for a job. */
  private long settlePause(String jobId) {
    return Rendezvous.isFirst(jobId, instance, live) ? SETTLE_NANOS : 4 * SETTLE_NANOS;
  }

  /** Claimable segments of one job. */
  private static final class JobClaims {
    private final Job job;
    private final BitSet open;
    private final BitSet orphans = new BitSet();
    private final Map<Integer, Pause> paused = new HashMap<>();
    private BitSet own;
    private BitSet finished = new BitSet();
    private int conflicts;
    private long othersAtNanos;
    private long resumeAtNanos;

    JobClaims(Job job, long nowNanos) {
      this.job = job;
      this.open = new BitSet(job.segmentCount());
      this.othersAtNanos = nowNanos;
      this.resumeAtNanos = nowNanos;
      open.set(0, job.segmentCount());
    }

    void finish(BitSet segments) {
      finished = segments;
      open.andNot(segments);
      orphans.andNot(segments);
      paused.keySet().removeIf(segments::get);
    }

    /** Returns whether no claim is under way and this instance does not hold the segment. */
    boolean isIdle(int index) {
      return open.get(index) || paused.containsKey(index);
    }

    SegmentKey take(int index) {
      open.clear(index);
      return new SegmentKey(job.id(), index);
    }

    void pause(int index, String holder, long untilNanos) {
      if (!finished.get(index)) {
        paused.put(index, new Pause(holder, untilNanos));
      }
    }

    /** Opens segments whose pause has ended; asks about each holder once. */
    void resume(Predicate<String> expired, long nowNanos) {
      if (paused.isEmpty() || nowNanos - resumeAtNanos < 0) {
        return;
      }
      resumeAtNanos = nowNanos + RETRY_NANOS / 4;
      Map<String, Boolean> holders = new HashMap<>();
      holders.put("", false);
      for (Map.Entry<Integer, Pause> entry : new ArrayList<>(paused.entrySet())) {
        Pause pause = entry.getValue();
        if (nowNanos - pause.untilNanos() >= 0) {
          reopen(entry.getKey());
        } else if (holders.computeIfAbsent(pause.holder(), expired::test)) {
          othersAtNanos = nowNanos;
          reopen(entry.getKey());
        }
      }
    }

    private void reopen(int index) {
      paused.remove(index);
      open.set(index);
    }

    BitSet own(String instance, List<String> live) {
      if (own == null) {
        own = new BitSet(job.segmentCount());
        for (int index = 0; index < job.segmentCount(); index++) {
          String name = new SegmentKey(job.id(), index).toName();
          own.set(index, Rendezvous.isFirst(name, instance, live));
        }
      }
      return own;
    }
  }

  /** The time until which a segment is left alone, and its holder if another instance has it. */
  private record Pause(String holder, long untilNanos) {}
}
