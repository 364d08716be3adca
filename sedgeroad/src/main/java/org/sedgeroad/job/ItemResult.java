package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The result of an item that has ended.
 *
 * @param item index in the segment, from 0
 * @param customId id as given by the caller
 * @param state state in which it ended
 * @param requestId request id of the run that was answered, empty if there is no answer
 * @param status HTTP status of the answer, 0 if there is none
 * @param body body of the answer, null if there is none
 * @param error description of the error, null if there is none
 * @param size size of the body in bytes, 0 if there is none or its size is not counted
 */
public record ItemResult(
    int item,
    String customId,
    ItemState state,
    String requestId,
    int status,
    JsonNode body,
    String error,
    int size) {

  /** Creates a result that has no body or one so small that its size is not counted. */
  public ItemResult(
      int item,
      String customId,
      ItemState state,
      String requestId,
      int status,
      JsonNode body,
      String error) {
    this(item, customId, state, requestId, status, body, error, 0);
  }

  /** Returns a result with an error and without an answer. */
  public static ItemResult ofError(BatchItem item, ItemState state, String error) {
    return new ItemResult(item.index(), item.customId(), state, "", 0, null, error, 0);
  }

  /** Returns the approximate size of the result line in bytes. */
  long bytes() {
    return size + 200L + (error == null ? 0 : error.length());
  }

  /**
   * Returns the line of the output file or error file.
   *
   * @param id unique id of the line
   */
  public ObjectNode toLine(String id) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("id", id);
    line.put("custom_id", customId);
    line.put("state", state.name());
    if (body == null) {
      line.putNull("response");
    } else {
      ObjectNode response = line.putObject("response");
      response.put("status_code", status);
      response.put("request_id", requestId);
      response.set("body", body);
    }
    if (error == null) {
      line.putNull("error");
    } else {
      line.putObject("error")
          .put("code", state.name().toLowerCase(java.util.Locale.ROOT))
          .put("message", error);
    }
    return line;
  }
}
