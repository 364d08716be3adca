package org.sedgeroad.route;

import java.util.Objects;
import java.util.Set;
import org.sedgeroad.ServiceClass;

/**
 * Properties of a request that matter for routing.
 *
 * @param service service that must process the request
 * @param member member that sent the request
 * @param serviceClass live or batch
 * @param promptTokens estimated number of prompt tokens
 * @param outputTokens expected number of output tokens
 * @param prefixHash hash of the start of the prompt, for prefix affinity; 0 if there is none
 * @param fingerprint hash of the whole request, for the detection of crashing requests; empty if
 *     the request is exempt from it
 * @param idempotent whether the request may be run more than once
 * @param excluded names of the endpoints that must not be chosen
 */
public record RequestShape(
    String service,
    String member,
    ServiceClass serviceClass,
    int promptTokens,
    int outputTokens,
    long prefixHash,
    String fingerprint,
    boolean idempotent,
    Set<String> excluded) {

  /**
   * Copies the set of excluded endpoints.
   *
   * @throws NullPointerException if {@code service} or {@code excluded} is null
   */
  public RequestShape {
    Objects.requireNonNull(service);
    excluded = Set.copyOf(excluded);
  }

  /** Returns the expected cost in tokens. */
  public long cost() {
    return (long) promptTokens + outputTokens;
  }

  /** Returns a copy that excludes one more endpoint. */
  public RequestShape withExcluded(String endpoint) {
    Set<String> newExcluded = new java.util.HashSet<>(excluded);
    newExcluded.add(endpoint);
    return new RequestShape(
        service,
        member,
        serviceClass,
        promptTokens,
        outputTokens,
        prefixHash,
        fingerprint,
        idempotent,
        newExcluded);
  }
}
