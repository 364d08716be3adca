package org.sedgeroad.batch;

import java.util.Objects;

/**
 * The listed end of one item.
 *
 * @param id id of the item, not null
 * @param completed whether it has its whole output; otherwise it was given up
 * @param output data of all events, joined by line feeds, not null
 */
public record JobResult(String id, boolean completed, String output) {

  /** Checks that no component is null. */
  public JobResult {
    Objects.requireNonNull(id);
    Objects.requireNonNull(output);
  }
}
