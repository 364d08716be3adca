package org.sedgeroad.testing.deployment;

import java.net.URI;
import org.sedgeroad.Endpoint;

/**
 * Process of one endpoint stand-in of a deployment: a model engine or an endpoint of a plain
 * service.
 *
 * @param endpoint the endpoint as registered in the instance list
 * @param process the process of the stand-in
 */
public record EndpointProcess(Endpoint endpoint, ChildProcess process) {

  /** Returns the address of the endpoint. */
  public URI address() {
    return endpoint.address();
  }
}
