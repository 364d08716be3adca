package org.sedgeroad.batch;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;

/** Finds out why an item can't be sent to an endpoint. */
final class ItemFaults {
  /** Authority that completes a target to a URI; no call is made to it. */
  private static final String ANY_AUTHORITY = "http://localhost";

  private ItemFaults() {}

  /** Returns the field and the reason, empty if the item can be sent. */
  static Optional<String> find(ItemSpec item) {
    if (item.id().isEmpty() || !isHeaderValue(item.id())) {
      return Optional.of("id is empty or can't be sent in a header");
    }
    if (!isTarget(item.target())) {
      return Optional.of("path is not a path of a request");
    }
    if (!isBase64(item.body())) {
      return Optional.of("body is not Base64");
    }
    for (Map.Entry<String, String> header : item.headers().entrySet()) {
      if (!isToken(header.getKey()) || !isHeaderValue(header.getValue())) {
        return Optional.of("headers have a name or value that can't be sent");
      }
    }
    return Optional.empty();
  }

  private static boolean isTarget(String target) {
    if (!target.startsWith("/") || !target.chars().allMatch(each -> each > ' ' && each < 0x7f)) {
      return false;
    }
    try {
      return new URI(ANY_AUTHORITY + target).getRawFragment() == null;
    } catch (URISyntaxException malformed) {
      return false;
    }
  }

  private static boolean isBase64(String text) {
    try {
      Base64.getDecoder().decode(text);
      return true;
    } catch (IllegalArgumentException malformed) {
      return false;
    }
  }

  private static boolean isToken(String name) {
    return name.matches("[-!#$%&'*+.^_`|~0-9A-Za-z]+");
  }

  /** Other characters are cut to one byte when they are sent, which may be a line end. */
  private static boolean isHeaderValue(String value) {
    return value
        .chars()
        .allMatch(each -> each == '\t' || (each >= ' ' && each <= 0xff && each != 0x7f));
  }
}
