package org.sedgeroad.batch;

import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.http.RequestTarget;

/** Finds out why an item can't be sent to an endpoint. */
final class ItemFaults {
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
    return RequestTarget.isValid(target) && target.chars().allMatch(each -> each < 0x7f);
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
