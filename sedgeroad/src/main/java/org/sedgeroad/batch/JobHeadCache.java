package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Cache of the newest received head of each job; the head is the object that describes the job.
 * Must be used on the event loop.
 */
final class JobHeadCache {

  /**
   * A job head at one store version.
   *
   * @param head head of the job, not null
   * @param version store version of the head
   * @param firstSeenNanos monotonic time at which this instance first received the job, in
   *     nanoseconds
   * @param ownerSeenNanos monotonic time at which this instance first received the job with its
   *     present owner, in nanoseconds
   */
  record CachedJob(JobHead head, long version, long firstSeenNanos, long ownerSeenNanos) {

    /** Returns whether the job had another owner when it was first received. */
    boolean hasMoved() {
      return ownerSeenNanos != firstSeenNanos;
    }
  }

  private final Map<String, CachedJob> jobs = new HashMap<>();

  /** Caches a head unless a newer version is cached, and returns whether it was cached. */
  boolean update(JobHead head, long version, long nowNanos) {
    CachedJob before = jobs.get(head.id());
    if (before != null && before.version() >= version) {
      return false;
    }
    long firstSeenNanos = before == null ? nowNanos : before.firstSeenNanos();
    boolean sameOwner = before != null && before.head().owner().equals(head.owner());
    long ownerSeenNanos = sameOwner ? before.ownerSeenNanos() : nowNanos;
    jobs.put(head.id(), new CachedJob(head, version, firstSeenNanos, ownerSeenNanos));
    return true;
  }

  void remove(String id) {
    jobs.remove(id);
  }

  Optional<CachedJob> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  List<CachedJob> all() {
    return new ArrayList<>(jobs.values());
  }
}
