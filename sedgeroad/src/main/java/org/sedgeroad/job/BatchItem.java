package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One item of a batch file.
 *
 * @param index index within its segment
 * @param customId id that the caller gave
 * @param path API path
 * @param model model name
 * @param body request body
 * @param idempotent whether it may be run more than once
 */
public record BatchItem(
    int index, String customId, String path, String model, JsonNode body, boolean idempotent) {

  /** Reads an item from a line of a batch file. */
  public static BatchItem fromLine(int index, JsonNode line) {
    return new BatchItem(
        index,
        line.path("custom_id").asText(),
        line.path("url").asText(),
        line.path("body").path("model").asText(),
        line.path("body"),
        line.path("idempotent").asBoolean(true));
  }
}
