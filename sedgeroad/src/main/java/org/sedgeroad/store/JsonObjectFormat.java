package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import java.util.function.LongFunction;

/**
 * The form of objects in one store's protocol.
 *
 * @param root path under which the kinds are, with a slash at both ends, not null
 * @param versionField name of an object's version in its metadata and in queries, not null
 * @param version returns a version in the form that the store expects, not null
 * @param emptySpec content of an object that has none, null if such an object counts as deleted
 */
public record JsonObjectFormat(
    String root, String versionField, LongFunction<JsonNode> version, JsonNode emptySpec) {

  /** Checks that what must not be null is not. */
  public JsonObjectFormat {
    Objects.requireNonNull(root);
    Objects.requireNonNull(versionField);
    Objects.requireNonNull(version);
  }

  /** Returns the object in a JSON text of the store. */
  public StoredObject object(String kind, JsonNode node) {
    JsonNode metadata = node.path("metadata");
    JsonNode spec = node.get("spec");
    return new StoredObject(
        kind,
        metadata.path("name").asText(),
        metadata.path(versionField).asLong(),
        spec == null || spec.isNull() ? emptySpec : spec);
  }
}
