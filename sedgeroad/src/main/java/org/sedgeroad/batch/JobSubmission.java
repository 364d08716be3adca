package org.sedgeroad.batch;

import java.util.List;
import java.util.Objects;

/**
 * A job as a client submits it.
 *
 * @param id id chosen by the client, not null
 * @param host host of the route, not null
 * @param path path of the submission, not null
 * @param items the items in order
 */
public record JobSubmission(String id, String host, String path, List<ItemSpec> items) {

  /** Copies the list and checks that no component is null. */
  public JobSubmission {
    Objects.requireNonNull(id);
    Objects.requireNonNull(host);
    Objects.requireNonNull(path);
    items = List.copyOf(items);
  }

  /** Returns the tokens of all items. */
  public long tokens() {
    return items.stream().mapToLong(ItemSpec::tokens).sum();
  }
}
