package org.sedgeroad.batch;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A submitted item of a batch job. No component may be null.
 *
 * @param id unique id of the item
 * @param target path and query of the request to the endpoint
 * @param headers headers of the request to the endpoint
 * @param body Base64-encoded request body
 * @param tokens sum of the prompt tokens and the maximum output tokens
 */
public record ItemSpec(
    String id, String target, Map<String, String> headers, String body, long tokens) {

  /** Copies the headers and checks that no component is null. */
  public ItemSpec {
    Objects.requireNonNull(id);
    Objects.requireNonNull(target);
    headers = Map.copyOf(headers);
    Objects.requireNonNull(body);
  }

  /** Returns why the item can't be sent to an endpoint, with its field, empty if it can. */
  public Optional<String> fault() {
    return ItemFaults.find(this);
  }
}
