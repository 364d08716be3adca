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
   */
  record CachedJob(JobHead head, long version, long firstSeenNanos) {}

  private final Map<String, CachedJob> jobs = new HashMap<>();

  /** Caches a head unless a newer version is cached, and returns whether it was cached. */
  boolean update(JobHead head, long version, long nowNanos) {
    CachedJob before = jobs.get(head.id());
    if (before != null && before.version() >= version) {
      return false;
    }
    long firstSeenNanos = before == null ? nowNanos : before.firstSeenNanos();
    jobs.put(head.id(), new CachedJob(head, version, firstSeenNanos));
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
