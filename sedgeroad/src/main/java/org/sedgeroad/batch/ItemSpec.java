package org.sedgeroad.batch;

import java.util.Map;
import java.util.Objects;

/**
 * One item as submitted. No component may be null.
 *
 * @param id unique id
 * @param target path with query at the endpoint
 * @param headers headers of the request
 * @param body body in base64
 * @param tokens prompt tokens and maximum output tokens, summed
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
}
