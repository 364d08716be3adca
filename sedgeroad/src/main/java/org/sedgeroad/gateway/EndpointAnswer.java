package org.sedgeroad.gateway;

import java.util.Locale;
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

  /**
   * Returns whether this answer can continue a stream that another answer has begun: a success of
   * the same media type.
   */
  public boolean canContinue(EndpointAnswer begun) {
    return isSuccess() && mediaType().equals(begun.mediaType());
  }

  /** Returns the media type in lower case and without parameters, empty if it is not stated. */
  private String mediaType() {
    return headers.entrySet().stream()
        .filter(header -> header.getKey().equalsIgnoreCase("Content-Type"))
        .map(header -> header.getValue().split(";")[0].strip().toLowerCase(Locale.ROOT))
        .findFirst()
        .orElse("");
  }

  /** Returns whether the status is in the range from 200 to 299. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
