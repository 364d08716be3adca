package org.sedgeroad.gateway;

import java.util.Objects;

/**
 * A process that runs requests of one service, as registered in the store. No component may be
 * null.
 *
 * @param name unique name of this incarnation of the process
 * @param service name of its service
 * @param address {@code IP:PORT}
 * @param domain failure domain
 * @param slots number of requests that it processes at once
 * @param draining whether it must not get new work
 */
public record ServiceEndpoint(
    String name, String service, String address, String domain, int slots, boolean draining) {

  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public ServiceEndpoint {
    Objects.requireNonNull(name);
    Objects.requireNonNull(service);
    Objects.requireNonNull(address);
    Objects.requireNonNull(domain);
  }

  /** Returns a copy of this endpoint with another number of slots. */
  public ServiceEndpoint withSlots(int next) {
    return new ServiceEndpoint(name, service, address, domain, next, draining);
  }
}
