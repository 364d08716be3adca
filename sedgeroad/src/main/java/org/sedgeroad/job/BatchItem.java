package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An item of a batch file.
 *
 * @param index index in its segment, from 0
 * @param customId id as given by the caller
 * @param path API path, for example {@code /v1/completions}
 * @param model name of the model
 * @param body request body
 * @param idempotent whether it may run more than once
 */
public record BatchItem(
    int index, String customId, String path, String model, JsonNode body, boolean idempotent) {

  /** Reads an item from a line of a batch file; it is idempotent unless the line says otherwise. */
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
