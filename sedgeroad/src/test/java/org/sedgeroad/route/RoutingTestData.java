package org.sedgeroad.route;

import java.net.URI;
import java.util.Set;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.ServiceClass;

/** Factory of endpoint views and requests for tests. */
final class RoutingTestData {
  private RoutingTestData() {}

  static Endpoint endpoint(String name, String region) {
    URI address = URI.create("http://127.0.0.1:1");
    return new Endpoint(name, "s", address, "d", region, EndpointState.LIVE);
  }

  /** Returns a view with eight slots, in the instance's own region {@code r}. */
  static EndpointView view(String name, int ownLive, int peerLive) {
    return new EndpointView(
        endpoint(name, "r"), 8, ownLive, peerLive, 0, ownLive * 20L, 0, 1.0, true);
  }

  static EndpointView viewWithBatch(String name, int live, int batch) {
    return new EndpointView(endpoint(name, "r"), 8, live, 0, batch, live * 20L, 0, 1.0, true);
  }

  static RequestShape request(int output) {
    return new RequestShape("s", "m", ServiceClass.LIVE, 10, output, 7, "f", true, Set.of());
  }
}
