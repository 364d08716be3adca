package org.sedgeroad.testing.deployment;

import java.net.URI;
import org.sedgeroad.Endpoint;

/**
 * One endpoint stand-in of a deployment.
 *
 * @param endpoint its entry in the instance list
 * @param process the process
 */
public record EngineProcess(Endpoint endpoint, ChildProcess process) {

  /** Returns the address of the endpoint. */
  public URI address() {
    return endpoint.address();
  }
}
