package org.sedgeroad.placement;

import java.util.Objects;
import org.sedgeroad.gateway.ServiceEndpoint;

/**
 * What is known of the work at one endpoint.
 *
 * @param endpoint the endpoint, not null
 * @param distance how far it is from this instance, not null
 * @param live live requests of all instances there
 * @param batch batch items of all instances there
 * @param ownBatch batch items of this instance there
 * @param suspect whether it failed lately
 */
public record EndpointLoad(
    ServiceEndpoint endpoint,
    Distance distance,
    int live,
    int batch,
    int ownBatch,
    boolean suspect) {

  /** Where an endpoint is, seen from this instance. */
  public enum Distance {
    /** In the same failure domain. */
    SAME_DOMAIN,
    /** In another failure domain of the region. */
    SAME_REGION,
    /** In another region. */
    OTHER_REGION
  }

  /** Checks that no component is null. */
  public EndpointLoad {
    Objects.requireNonNull(endpoint);
    Objects.requireNonNull(distance);
  }

  /** Returns the requests and items there. */
  public int occupied() {
    return live + batch;
  }

  /** Returns the places that nobody uses; negative if work waits inside the endpoint. */
  public int free() {
    return endpoint.slots() - occupied();
  }
}
