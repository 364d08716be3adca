package org.sedgeroad.testing.experiment;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records of the actions of a soak, from which the invariants are checked. Times are in
 * microseconds since 1970 (wall clock). Thread-safe.
 */
final class SoakJournal {
  final List<SubmittedJob> jobs = new CopyOnWriteArrayList<>();
  final List<Resubmission> resubmissions = new CopyOnWriteArrayList<>();
  final List<Cancellation> cancellations = new CopyOnWriteArrayList<>();
  final List<UnavailableInterval> drains = new CopyOnWriteArrayList<>();
  final List<PlannedStop> stops = new CopyOnWriteArrayList<>();
  final List<UnavailableInterval> failures = new CopyOnWriteArrayList<>();
  final List<LimitChange> limitChanges = new CopyOnWriteArrayList<>();
  final List<LimitChange> uncertainLimitChanges = new CopyOnWriteArrayList<>();
  final List<Long> limitedAdmissions = new CopyOnWriteArrayList<>();
  final List<ServiceCall> serviceCalls = new CopyOnWriteArrayList<>();

  /** An accepted job. */
  record SubmittedJob(String id, String key, String file, int items, String label) {}

  /** Ids of a job and of the answer to a later submission with the same idempotency key. */
  record Resubmission(String originalJob, String answeredJob) {}

  /** A job whose cancellation was answered with status 200, and the time of the answer. */
  record Cancellation(String job, long answeredMicros) {}

  /** An interval in which an endpoint was leaving or a component had failed. */
  record UnavailableInterval(String name, long from, long to) {}

  /** A planned stop of an entry instance that had no other failure at the time. */
  record PlannedStop(URI entry, long from, long to) {}

  /**
   * A limit change that was accepted or whose outcome is unknown, and the time at which the last
   * attempt ended.
   */
  record LimitChange(long acceptedMicros, long requestsPerSecond) {}

  /** A non-idempotent call, with the state of the work that each of its answers reported. */
  record ServiceCall(String bodyHash, List<String> work) {}
}
