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
 * @param startedMillis time of its start in milliseconds since the epoch, 0 if it does not state it
 */
public record ServiceEndpoint(
    String name,
    String service,
    String address,
    String domain,
    int slots,
    boolean draining,
    long startedMillis) {

  /** Creates an endpoint that does not state the time of its start. */
  public ServiceEndpoint(
      String name, String service, String address, String domain, int slots, boolean draining) {
    this(name, service, address, domain, slots, draining, 0);
  }

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
    return new ServiceEndpoint(name, service, address, domain, next, draining, startedMillis);
  }

  /** Returns a name that a process which starts again under the same name does not share. */
  public String incarnation() {
    return startedMillis == 0 ? name : name + "#" + startedMillis;
  }
}
