package org.sedgeroad.live;

import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;

/** Learns of live work at endpoints. Called on the request's thread; must not block. */
public interface PlacementListener {

  /**
   * Tells that a request was placed and will be sent to the endpoint next.
   *
   * @param placement the placement
   * @param before the endpoint as it was before the placement
   */
  void placed(Placement placement, EndpointView before);

  /** Tells that a placement ended. */
  void ended(Placement placement);
}
