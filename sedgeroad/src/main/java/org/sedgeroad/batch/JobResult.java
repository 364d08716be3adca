package org.sedgeroad.batch;

import java.util.Objects;

/**
 * Final result of one item.
 *
 * @param id id of the item, not null
 * @param completed true if the output is complete, false if the item was given up
 * @param output data of all events, joined by line feeds, not null; if the item was given up, the
 *     reason, or empty if its endpoint refused it
 */
public record JobResult(String id, boolean completed, String output) {

  /** Returns the result of the same item if it is given up for a reason. */
  JobResult givenUp(String reason) {
    return new JobResult(id, false, reason);
  }

  /** Checks that no component is null. */
  public JobResult {
    Objects.requireNonNull(id);
    Objects.requireNonNull(output);
  }
}
