package org.sedgeroad.gateway;

import java.util.Objects;

/**
 * A process that runs requests of one service, as registered in the store.
 *
 * @param name unique name of this incarnation
 * @param service name of its service
 * @param address {@code IP:PORT}
 * @param domain failure domain
 * @param slots requests that it processes at once
 * @param draining whether it must get no new work
 */
public record ServiceEndpoint(
    String name, String service, String address, String domain, int slots, boolean draining) {

  /** Checks that no component is null. */
  public ServiceEndpoint {
    Objects.requireNonNull(name);
    Objects.requireNonNull(service);
    Objects.requireNonNull(address);
    Objects.requireNonNull(domain);
  }

  /** Returns this endpoint with another number of places. */
  public ServiceEndpoint withSlots(int next) {
    return new ServiceEndpoint(name, service, address, domain, next, draining);
  }
}
