package org.sedgeroad.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;
import org.sedgeroad.store.StoredObject;

/** Converts job heads to and from the JSON that instances exchange. */
public final class JobHeadJson {
  private JobHeadJson() {}

  /** Returns a head, and the store version of its object, as JSON. */
  static JsonNode encode(JobHeadCache.CachedJob job) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("version", job.version())
        .set("head", JobCodec.encode(job.head()));
  }

  /** Returns the object that contains the head of a job; empty if the JSON has none. */
  public static Optional<StoredObject> decode(String job, JsonNode node) {
    long version = node.path("version").asLong();
    return version > 0 && node.path("head").isObject()
        ? Optional.of(new StoredObject(JobStore.JOBS, job, version, node.path("head")))
        : Optional.empty();
  }
}
