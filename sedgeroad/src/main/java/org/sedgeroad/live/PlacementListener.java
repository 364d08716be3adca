package org.sedgeroad.live;

import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;

/**
 * Receives notifications of the placements of live requests. Called on the request's thread; must
 * not block.
 */
public interface PlacementListener {

  /**
   * Called when a request has been placed, before it is sent to the endpoint.
   *
   * @param placement the placement
   * @param before snapshot of the endpoint before the placement
   */
  void placed(Placement placement, EndpointView before);

  /** Called when a placement has ended. */
  void ended(Placement placement);
}
