package org.sedgeroad.testing.experiment;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What the callers and the failures of a soak recorded. Times are wall clock in microseconds since
 * 1970. Thread-safe.
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

  /** The answer to a submission of a job with the key of an earlier one. */
  record Resubmission(String originalJob, String answeredJob) {}

  /** A cancellation that was answered with status 200. */
  record Cancellation(String job, long answeredMicros) {}

  /** A time in which an endpoint was leaving, or a part had failed. */
  record UnavailableInterval(String name, long from, long to) {}

  /** A planned stop of an entry instance that nothing else disturbed. */
  record PlannedStop(URI entry, long from, long to) {}

  /** A vote that was accepted, or whose outcome is not known. */
  record LimitChange(long acceptedMicros, long requestsPerSecond) {}

  /** A call that must not be repeated, with the work that each of its answers told. */
  record ServiceCall(String bodyHash, List<String> work) {}
}
