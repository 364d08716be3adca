package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.sedgeroad.testing.http.Answers;

/**
 * Body of a call that creates or updates an object.
 *
 * @param name name of the object, may be empty
 * @param version expected version as sent by the caller, may be empty
 * @param spec content of the object
 */
record WriteRequest(String name, String version, JsonNode spec) {

  /**
   * Parses a body.
   *
   * @throws IOException if it is not JSON
   * @throws IllegalArgumentException if its {@code spec} is not an object
   */
  static WriteRequest parse(byte[] body) throws IOException {
    JsonNode root = Answers.MAPPER.readTree(body);
    JsonNode metadata = root.path("metadata");
    JsonNode spec = root.path("spec");
    if (!spec.isObject()) {
      throw new IllegalArgumentException("spec must be an object");
    }
    return new WriteRequest(
        metadata.path("name").asText(""), metadata.path("resourceVersion").asText(""), spec);
  }

  boolean isTooLarge(int maxBytes) {
    return Answers.toBytes(spec).length > maxBytes;
  }

  String requiredName() {
    if (name.isEmpty()) {
      throw new IllegalArgumentException("metadata.name is missing");
    }
    return name;
  }

  long requiredVersion() {
    if (version.isEmpty()) {
      throw new IllegalArgumentException("metadata.resourceVersion is missing");
    }
    return Long.parseLong(version);
  }
}
