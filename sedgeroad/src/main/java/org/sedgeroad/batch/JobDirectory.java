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
   */
  record KnownJob(JobHead head, long version) {}

  private final Map<String, KnownJob> jobs = new HashMap<>();

  /** Notes a head; returns whether it is newer than what was known. */
  boolean learn(JobHead head, long version) {
    KnownJob before = jobs.get(head.id());
    if (before != null && before.version() >= version) {
      return false;
    }
    jobs.put(head.id(), new KnownJob(head, version));
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
