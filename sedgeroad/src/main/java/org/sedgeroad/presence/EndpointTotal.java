package org.sedgeroad.presence;

import java.util.Objects;
import org.sedgeroad.peer.RendezvousHashing;

/**
 * Work of several instances at one endpoint.
 *
 * @param live number of live requests
 * @param batch number of batch items
 * @param firstHolder name of the instance that preempts first among those with items at the
 *     endpoint, empty if there are no items
 */
public record EndpointTotal(int live, int batch, String firstHolder) {
  /** No work. */
  public static final EndpointTotal NONE = new EndpointTotal(0, 0, "");

  /**
   * Checks the components.
   *
   * @throws NullPointerException if the name is null
   */
  public EndpointTotal {
    Objects.requireNonNull(firstHolder);
  }

  /** Returns the work of one instance at an endpoint as a total. */
  public static EndpointTotal of(Occupancy work, String instance) {
    return new EndpointTotal(work.live(), work.batch(), work.batch() > 0 ? instance : "");
  }

  /**
   * Returns the sum of this total and that of other instances.
   *
   * @param endpoint name of the endpoint, which determines the order of preemption
   * @param other total of other instances, not null
   */
  public EndpointTotal plus(String endpoint, EndpointTotal other) {
    return new EndpointTotal(
        live + other.live,
        batch + other.batch,
        RendezvousHashing.first(endpoint, firstHolder, other.firstHolder));
  }

  /** Returns this total without the work of one of its instances. */
  public EndpointTotal minus(Occupancy work) {
    return new EndpointTotal(
        Math.max(0, live - work.live()), Math.max(0, batch - work.batch()), firstHolder);
  }
}
