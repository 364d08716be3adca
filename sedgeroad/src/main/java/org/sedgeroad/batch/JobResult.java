package org.sedgeroad.batch;

import java.util.Objects;

/**
 * Final result of one item.
 *
 * @param id id of the item, not null
 * @param completed true if the output is complete, false if the item was given up
 * @param output data of all events, joined by line feeds, not null; empty if the item was given up
 */
public record JobResult(String id, boolean completed, String output) {

  /** Checks that no component is null. */
  public JobResult {
    Objects.requireNonNull(id);
    Objects.requireNonNull(output);
  }
}
