package org.sedgeroad.entry;

import io.undertow.server.HttpHandler;
import java.util.Optional;
import org.sedgeroad.batch.JobService;
import org.sedgeroad.gateway.EndpointCaller;
import org.sedgeroad.gateway.Gateway;
import org.sedgeroad.gateway.GatewayParts;
import org.sedgeroad.gateway.RouteTable;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.http.HttpCaller;
import org.sedgeroad.settings.GatewaySettings;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoredObject;

/** The names, formats and calls of the platform that a gateway instance runs on. */
public interface PlatformBinding {

  /** Returns a client of the platform's store. */
  ObjectStore store(GatewaySettings settings, HttpCaller caller);

  /** Returns how requests are sent to endpoints. */
  EndpointCaller endpointCaller(HttpCaller caller);

  /** Returns the handler of the clients' requests. */
  HttpHandler clientHandler(GatewayParts parts, Gateway gateway, JobService jobs);

  /** Returns the kind of the objects that hold the routes. */
  String routesKind();

  /** Returns the kind of the objects that register endpoints. */
  String endpointsKind();

  /** Returns the routes in an object of the routes kind; empty if it holds none. */
  Optional<RouteTable> routes(StoredObject object);

  /** Returns the endpoint that an object registers; empty if it names none that can be used. */
  Optional<ServiceEndpoint> endpoint(StoredObject object);
}
