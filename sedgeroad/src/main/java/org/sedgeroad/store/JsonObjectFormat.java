package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import java.util.function.LongFunction;

/**
 * How one kind of store represents stored objects in its JSON protocol.
 *
 * @param root path that precedes the kind, with a slash at both ends, not null
 * @param versionField name of the version field in metadata and in queries, not null
 * @param version converts a version to the JSON that the store expects, not null
 * @param emptySpec content that is used for an object without content, null if such an object
 *     counts as deleted
 */
public record JsonObjectFormat(
    String root, String versionField, LongFunction<JsonNode> version, JsonNode emptySpec) {

  /** Checks the components that must not be null. */
  public JsonObjectFormat {
    Objects.requireNonNull(root);
    Objects.requireNonNull(versionField);
    Objects.requireNonNull(version);
  }

  /** Returns the object that a JSON node of the store represents. */
  public StoredObject parse(String kind, JsonNode node) {
    JsonNode metadata = node.path("metadata");
    JsonNode spec = node.get("spec");
    return new StoredObject(
        kind,
        metadata.path("name").asText(),
        metadata.path(versionField).asLong(),
        spec == null || spec.isNull() ? emptySpec : spec);
  }
}
