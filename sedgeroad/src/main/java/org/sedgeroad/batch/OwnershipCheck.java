package org.sedgeroad.batch;

import java.util.Optional;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;

/**
 * Confirms that this instance still owns the jobs that it runs after it had lost contact to the
 * others, which may have taken them over meanwhile. Used on the event loop.
 */
final class OwnershipCheck {
  /** Delay before a head that could not be read is read again, in milliseconds. */
  private static final long STORE_RETRY_MILLIS = 500;

  private final BatchDependencies context;
  private final OwnedJobRunner runner;
  private final JobHeadCache jobHeads;
  private final HeadReader headReader;

  OwnershipCheck(
      BatchDependencies context,
      OwnedJobRunner runner,
      JobHeadCache jobHeads,
      HeadReader headReader) {
    this.context = context;
    this.runner = runner;
    this.jobHeads = jobHeads;
    this.headReader = headReader;
  }

  /** Reads the owner of a job from the store if contact was lost since it was last known. */
  void check(OwnedJob job) {
    int epoch = context.fleetLoad().contactEpoch(context.clock().nanos());
    if (job.contactEpoch() != epoch && !job.isComplete()) {
      job.setContactEpoch(epoch);
      job.setOwnerUncertain(true);
      context.log().log(
          LogEvent.JOB_OWNER_UNCERTAIN,
          EventField.of("job", job.head().id()),
          EventField.of("contact_epoch", epoch));
      confirmOwner(job);
    }
  }

  /**
   * Reads the head of a job until the store answers; the job is dropped if its owner is another.
   */
  private void confirmOwner(OwnedJob job) {
    String id = job.head().id();
    int epoch = job.contactEpoch();
    Optional<JobHeadCache.CachedJob> before = jobHeads.find(id);
    headReader.read(
        id,
        failure -> {
          context
              .loop()
              .scheduleAt(
                  context.clock().deadlineAfterMillis(STORE_RETRY_MILLIS),
                  () -> confirmOwnerAgain(job, epoch));
        },
        head -> {
          boolean unchanged = jobHeads.find(id).equals(before) && job.contactEpoch() == epoch;
          // While contact is lost, others may take the job over after the head was read.
          if (unchanged && !context.fleetLoad().hasLostContact(context.clock().nanos())) {
            job.setOwnerUncertain(false);
          }
        });
  }

  private void confirmOwnerAgain(OwnedJob job, int epoch) {
    boolean runsHere = runner.job(job.head().id()).equals(Optional.of(job));
    if (runsHere && job.contactEpoch() == epoch) {
      confirmOwner(job);
    }
  }
}
