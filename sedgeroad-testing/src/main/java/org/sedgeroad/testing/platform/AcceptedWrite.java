package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import org.sedgeroad.testing.http.Answers;

/**
 * A write that took effect, without its content. No component may be null.
 *
 * @param type {@code ADDED}, {@code MODIFIED} or {@code DELETED}
 * @param kind kind of the object
 * @param name name of the object
 * @param version store version of the write
 * @param writer the field {@code writer} of the content, empty if it has none
 * @param writeNumber the field {@code writeNumber} of the content, -1 if it has none
 * @param time wall-clock time of the write
 */
public record AcceptedWrite(
    String type,
    String kind,
    String name,
    long version,
    String writer,
    long writeNumber,
    Instant time) {

  static AcceptedWrite of(Change change, Instant time) {
    JsonNode spec = change.object().spec();
    return new AcceptedWrite(
        change.type(),
        change.object().kind(),
        change.object().name(),
        change.object().version(),
        spec.path("writer").asText(""),
        spec.path("writeNumber").asLong(-1),
        time);
  }

  ObjectNode toJson() {
    ObjectNode node = Answers.MAPPER.createObjectNode();
    node.put("type", type).put("kind", kind).put("name", name).put("version", version);
    if (!writer.isEmpty()) {
      node.put("writer", writer);
    }
    if (writeNumber >= 0) {
      node.put("writeNumber", writeNumber);
    }
    return node.put("time", time.toString());
  }
}
