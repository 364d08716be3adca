package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Counts of ended items by outcome.
 *
 * @param done items that succeeded
 * @param failed items that failed
 * @param cancelled items that ended by the cancellation of their job
 * @param unknown non-idempotent items without a known outcome
 */
public record ItemCounts(int done, int failed, int cancelled, int unknown) {
  /** Counts of no items. */
  public static final ItemCounts ZERO = new ItemCounts(0, 0, 0, 0);

  /** Returns the sum of these and other counts. */
  public ItemCounts plus(ItemCounts other) {
    return new ItemCounts(
        done + other.done,
        failed + other.failed,
        cancelled + other.cancelled,
        unknown + other.unknown);
  }

  /** Reads counts from a JSON object; missing fields count as 0. */
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
