package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Numbers of ended items.
 *
 * @param done items with an answer
 * @param failed items with an error
 * @param cancelled items cancelled
 * @param unknown non-idempotent items that were interrupted
 */
public record ItemCounts(int done, int failed, int cancelled, int unknown) {
  /** No items. */
  public static final ItemCounts ZERO = new ItemCounts(0, 0, 0, 0);

  /** Returns the sum of both. */
  public ItemCounts plus(ItemCounts other) {
    return new ItemCounts(
        done + other.done,
        failed + other.failed,
        cancelled + other.cancelled,
        unknown + other.unknown);
  }

  /** Reads counts from JSON; missing ones are 0. */
  public static ItemCounts fromJson(JsonNode node) {
    return new ItemCounts(
        node.path("done").asInt(),
        node.path("failed").asInt(),
        node.path("cancelled").asInt(),
        node.path("unknown").asInt());
  }

  /** Writes the counts into a JSON object. */
  public void writeTo(ObjectNode node) {
    node.put("done", done);
    node.put("failed", failed);
    node.put("cancelled", cancelled);
    node.put("unknown", unknown);
  }
}
