package org.sedgeroad.job;

/**
 * Names one segment of a job.
 *
 * @param jobId id of the job
 * @param index index of the segment from 0
 */
public record SegmentKey(String jobId, int index) {

  /** Returns the name of the segment's object. */
  public String toName() {
    return jobId + "." + index;
  }
}
