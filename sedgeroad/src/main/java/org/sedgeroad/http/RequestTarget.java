package org.sedgeroad.http;

import java.net.URI;
import java.net.URISyntaxException;

/** Targets of requests: a path with an optional query. */
public final class RequestTarget {
  /** Authority that completes a target to a URI; no call is made to it. */
  private static final String ANY_AUTHORITY = "http://localhost";

  private RequestTarget() {}

  /**
   * Returns whether a request can be sent with a target: it begins with a slash, and path and query
   * have only characters and escapes that a URI allows.
   *
   * @param target the target, not null
   */
  public static boolean isValid(String target) {
    try {
      return target.startsWith("/") && new URI(ANY_AUTHORITY + target).getRawFragment() == null;
    } catch (URISyntaxException malformed) {
      return false;
    }
  }
}
