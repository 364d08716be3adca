package org.sedgeroad.entry;

import io.undertow.server.HttpHandler;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.batch.OwnedJobService;
import org.sedgeroad.gateway.EndpointClient;
import org.sedgeroad.gateway.Gateway;
import org.sedgeroad.gateway.GatewayDependencies;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.RouteTable;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.settings.GatewaySettings;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoredObject;

/** Adapts a gateway instance to its platform: object kinds, formats and calls. */
public interface PlatformBinding {

  /** Returns a client of the platform's store. */
  ObjectStore store(GatewaySettings settings, PooledHttpClient httpClient);

  /** Returns the object that sends requests to endpoints. */
  EndpointClient endpointClient(PooledHttpClient httpClient);

  /** Returns the HTTP handler that serves the clients' requests. */
  HttpHandler clientHandler(
      GatewayDependencies dependencies, Gateway gateway, OwnedJobService jobs);

  /** Returns the kind of the objects that hold the routes. */
  String routesKind();

  /** Returns the kind of the objects that register endpoints. */
  String endpointsKind();

  /** Returns the routes in an object of the routes kind; empty if it holds none. */
  Optional<RouteTable> routes(StoredObject object);

  /** Returns the endpoint that an object registers; empty if it registers no usable endpoint. */
  Optional<ServiceEndpoint> endpoint(StoredObject object);

  /** Returns the parts of a prompt that the headers of a request state, never null. */
  PromptPrefix prompt(Map<String, String> headers);
}
