package org.sedgeroad.route;

import java.util.Objects;
import java.util.Set;
import org.sedgeroad.ServiceClass;

/**
 * What routing needs to know of a request.
 *
 * @param service service that must serve it
 * @param member member that sent it
 * @param serviceClass live or batch
 * @param promptTokens estimated prompt tokens
 * @param outputTokens expected output tokens
 * @param prefixHash hash of the start of the prompt, for prefix affinity
 * @param fingerprint hash of the whole request, for crash suspicion
 * @param idempotent whether it may be run more than once
 * @param excluded endpoints that must not be chosen
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

  /** Copies the set. */
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
    Set<String> more = new java.util.HashSet<>(excluded);
    more.add(endpoint);
    return new RequestShape(
        service,
        member,
        serviceClass,
        promptTokens,
        outputTokens,
        prefixHash,
        fingerprint,
        idempotent,
        more);
  }
}
