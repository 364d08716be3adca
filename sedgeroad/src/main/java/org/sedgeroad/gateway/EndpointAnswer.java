package org.sedgeroad.gateway;

import java.util.Map;
import java.util.Objects;
import org.sedgeroad.announcement.ReceivedAnnouncement;

/**
 * Status and headers of an endpoint's answer.
 *
 * @param status HTTP status code
 * @param headers headers to forward, without hop-by-hop headers, not null
 * @param notRun whether the endpoint states that the request has not run
 * @param genuine whether the answer belongs to the request and, if it is a success, is signed
 * @param announcement what the endpoint announces about itself, not null
 */
public record EndpointAnswer(
    int status,
    Map<String, String> headers,
    boolean notRun,
    boolean genuine,
    ReceivedAnnouncement announcement) {

  /**
   * Copies the headers.
   *
   * @throws NullPointerException if the headers or the announcement are null
   */
  public EndpointAnswer {
    headers = Map.copyOf(headers);
    Objects.requireNonNull(announcement);
  }

  /** Returns whether the status is in the range from 200 to 299. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
