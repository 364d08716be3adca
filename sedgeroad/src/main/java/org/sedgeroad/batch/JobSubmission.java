package org.sedgeroad.batch;

import java.util.List;
import java.util.Objects;

/**
 * A job as submitted by a client.
 *
 * @param id id chosen by the client, not null
 * @param host host of the route, not null
 * @param path request path of the submission, not null
 * @param workspace name of the workspace that submits it, empty without one; not null
 * @param items items in the order of submission, not null
 */
public record JobSubmission(
    String id, String host, String path, String workspace, List<ItemSpec> items) {

  /** Copies the list and checks that no component is null. */
  public JobSubmission {
    Objects.requireNonNull(id);
    Objects.requireNonNull(host);
    Objects.requireNonNull(path);
    Objects.requireNonNull(workspace);
    items = List.copyOf(items);
  }

  /** Returns the sum of the tokens of all items. */
  public long tokens() {
    return items.stream().mapToLong(ItemSpec::tokens).sum();
  }
}
