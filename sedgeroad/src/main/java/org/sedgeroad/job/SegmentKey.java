package org.sedgeroad.job;

/**
 * Identifies a segment of a batch job.
 *
 * @param jobId id of the job
 * @param index index of the segment from 0
 */
public record SegmentKey(String jobId, int index) {

  /** Returns the name of the segment's stored object. */
  public String toName() {
    return jobId + "." + index;
  }
}
