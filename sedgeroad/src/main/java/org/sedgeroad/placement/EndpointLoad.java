package org.sedgeroad.placement;

import java.util.Objects;
import org.sedgeroad.gateway.ServiceEndpoint;

/**
 * Load of one endpoint, as known to this instance.
 *
 * @param endpoint the endpoint, not null
 * @param distance distance from this instance, not null
 * @param live number of live requests of all instances at the endpoint
 * @param batch number of batch items of all instances at the endpoint
 * @param ownBatch number of batch items of this instance at the endpoint
 * @param suspect whether the endpoint failed recently or has no registration
 * @param allowance number of requests that this instance may send to the endpoint now, because the
 *     endpoint accepts a limited rate only; {@link Integer#MAX_VALUE} without a limit
 * @param slowness time that the endpoint takes for a step of its work, relative to the median of
 *     its service, positive
 * @param saving time that cached parts of the prompt save the request for which the load is
 *     considered, not null
 */
public record EndpointLoad(
    ServiceEndpoint endpoint,
    Distance distance,
    int live,
    int batch,
    int ownBatch,
    boolean suspect,
    int allowance,
    double slowness,
    PromptSaving saving) {

  /** Location of an endpoint relative to this instance. */
  public enum Distance {
    /** In the same failure domain. */
    SAME_DOMAIN,
    /** In another failure domain of the same region. */
    SAME_REGION,
    /** In another region. */
    OTHER_REGION
  }

  /** Creates the load of an endpoint of median speed that states no limit. */
  public EndpointLoad(
      ServiceEndpoint endpoint,
      Distance distance,
      int live,
      int batch,
      int ownBatch,
      boolean suspect) {
    this(endpoint, distance, live, batch, ownBatch, suspect, Integer.MAX_VALUE, 1);
  }

  /** Creates the load of an endpoint that saves no time. */
  public EndpointLoad(
      ServiceEndpoint endpoint,
      Distance distance,
      int live,
      int batch,
      int ownBatch,
      boolean suspect,
      int allowance,
      double slowness) {
    this(
        endpoint, distance, live, batch, ownBatch, suspect, allowance, slowness, PromptSaving.NONE);
  }

  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public EndpointLoad {
    Objects.requireNonNull(endpoint);
    Objects.requireNonNull(distance);
    Objects.requireNonNull(saving);
  }

  /** Returns this load with the time that the endpoint saves a request. */
  EndpointLoad withSaving(PromptSaving next) {
    return new EndpointLoad(
        endpoint, distance, live, batch, ownBatch, suspect, allowance, slowness, next);
  }

  /** Returns the number of requests and items at the endpoint. */
  public int occupied() {
    return live + batch;
  }

  /** Returns the number of free slots; negative if work is queued inside the endpoint. */
  public int free() {
    return endpoint.slots() - occupied();
  }

  /** Returns whether the endpoint accepts a limited rate only. */
  public boolean isLimited() {
    return allowance < Integer.MAX_VALUE;
  }

  /**
   * Returns the number of free slots that this instance may use now; negative if work is queued
   * inside the endpoint.
   */
  public int startable() {
    return Math.min(free(), allowance);
  }
}
