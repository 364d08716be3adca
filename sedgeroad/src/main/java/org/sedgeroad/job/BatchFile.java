package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;

/**
 * Description of an uploaded batch file, whose lines are stored in inputs.
 *
 * @param id unique id
 * @param member member that uploaded it
 * @param name file name as given by the caller
 * @param bytes size in bytes
 * @param itemCount number of items
 * @param segmentCount number of segments, each with one input
 * @param createdAt time of the upload
 */
public record BatchFile(
    String id,
    String member,
    String name,
    long bytes,
    int itemCount,
    int segmentCount,
    Instant createdAt) {

  /**
   * Reads a file from the spec of its stored object.
   *
   * @throws java.time.format.DateTimeParseException if the time is missing or malformed
   */
  public static BatchFile fromSpec(String id, JsonNode spec) {
    return new BatchFile(
        id,
        spec.path("member").asText(),
        spec.path("filename").asText(),
        spec.path("bytes").asLong(),
        spec.path("items").asInt(),
        spec.path("segments").asInt(),
        Instant.parse(spec.path("created_at").asText()));
  }

  /** Returns the spec of the file's stored object. */
  public ObjectNode toSpec() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("member", member);
    spec.put("filename", name);
    spec.put("bytes", bytes);
    spec.put("items", itemCount);
    spec.put("segments", segmentCount);
    spec.put("created_at", createdAt.toString());
    return spec;
  }
}
