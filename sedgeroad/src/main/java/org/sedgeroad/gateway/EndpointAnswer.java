package org.sedgeroad.gateway;

import java.util.Map;

/**
 * Status and headers of an endpoint's answer.
 *
 * @param status HTTP status code
 * @param headers headers to forward, without hop-by-hop headers, not null
 * @param notRun whether the endpoint states that the request has not run
 * @param genuine whether the answer belongs to the request and, if it is a success, is signed
 */
public record EndpointAnswer(
    int status, Map<String, String> headers, boolean notRun, boolean genuine) {

  /**
   * Copies the headers.
   *
   * @throws NullPointerException if the headers are null
   */
  public EndpointAnswer {
    headers = Map.copyOf(headers);
  }

  /** Returns whether the status is in the range from 200 to 299. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
