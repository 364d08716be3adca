package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Object of the platform's store at one version.
 *
 * @param kind kind, for example {@code jobs}, not null
 * @param name name, unique within the kind, not null
 * @param version version, increasing with every write to the store, at least 1
 * @param spec content; must not be modified; null only for a deletion
 */
public record StoredObject(String kind, String name, long version, JsonNode spec) {

  /** Checks that kind and name are not null. */
  public StoredObject {
    Objects.requireNonNull(kind);
    Objects.requireNonNull(name);
  }

  /** Returns whether this represents a deletion. */
  public boolean isDeleted() {
    return spec == null;
  }
}
