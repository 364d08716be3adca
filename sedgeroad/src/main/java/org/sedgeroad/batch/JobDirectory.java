package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The newest known head of each job, with its store version. Used on the event loop. */
final class JobDirectory {

  /**
   * A job at one version.
   *
   * @param head the job
   * @param version store version of the head
   * @param sinceNanos monotonic time at which this instance first heard of the job
   */
  record KnownJob(JobHead head, long version, long sinceNanos) {}

  private final Map<String, KnownJob> jobs = new HashMap<>();

  /** Notes a head at a monotonic time; returns whether it is newer than what was known. */
  boolean learn(JobHead head, long version, long nowNanos) {
    KnownJob before = jobs.get(head.id());
    if (before != null && before.version() >= version) {
      return false;
    }
    long sinceNanos = before == null ? nowNanos : before.sinceNanos();
    jobs.put(head.id(), new KnownJob(head, version, sinceNanos));
    return true;
  }

  void forget(String id) {
    jobs.remove(id);
  }

  Optional<KnownJob> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  List<KnownJob> all() {
    return new ArrayList<>(jobs.values());
  }
}
