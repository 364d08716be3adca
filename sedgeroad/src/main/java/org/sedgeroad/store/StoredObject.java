package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * An object of the platform's object API at one version.
 *
 * @param kind kind, for example {@code jobs}
 * @param name name within the kind
 * @param version resource version, monotone over the whole store, at least 1
 * @param spec content; must not be modified; null only for a deletion
 */
public record StoredObject(String kind, String name, long version, JsonNode spec) {

  /** Checks that kind and name are not null. */
  public StoredObject {
    Objects.requireNonNull(kind);
    Objects.requireNonNull(name);
  }

  /** Returns whether this stands for a deleted object. */
  public boolean isDeleted() {
    return spec == null;
  }
}
