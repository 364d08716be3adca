package org.sedgeroad;

import java.net.URI;
import java.util.Objects;

/**
 * A model engine, or an instance of a plain service, as listed in the platform's instance list. No
 * component may be null.
 *
 * @param name unique name
 * @param service name of the service that the endpoint belongs to
 * @param address base address, {@code http://IP:PORT}
 * @param domain failure domain that the endpoint runs in
 * @param region region of the failure domain
 * @param state state in the instance list
 */
public record Endpoint(
    String name, String service, URI address, String domain, String region, EndpointState state) {

  /** Checks that no component is null. */
  public Endpoint {
    Objects.requireNonNull(name);
    Objects.requireNonNull(service);
    Objects.requireNonNull(address);
    Objects.requireNonNull(domain);
    Objects.requireNonNull(region);
    Objects.requireNonNull(state);
  }
}
