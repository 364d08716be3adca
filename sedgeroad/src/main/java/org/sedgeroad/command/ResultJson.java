package org.sedgeroad.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Converts results of statements and errors to JSON. */
final class ResultJson {
  private ResultJson() {}

  static ObjectNode of(CommandResult result) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    if (result instanceof CommandResult.Done done) {
      node.put("outcome", "done");
      ArrayNode columns = node.putArray("columns");
      done.table().columns().forEach(columns::add);
      ArrayNode rows = node.putArray("rows");
      done.table().rows().forEach(row -> row.forEach(rows.addArray()::add));
      done.nextPageStatement().ifPresent(next -> node.put("next", next));
      done.pollingStatement().ifPresent(again -> node.put("again", again));
    } else if (result instanceof CommandResult.Refused refused) {
      node.put("outcome", "refused");
      node.put("reason", refused.reason());
      refused.inForce().ifPresent(inForce -> node.put("winner", inForce));
    } else if (result instanceof CommandResult.OutcomeUnknown unknown) {
      node.put("outcome", "unknown");
      node.put("reason", unknown.reason());
    } else if (result instanceof CommandResult.Unavailable unavailable) {
      node.put("outcome", "unavailable");
      node.put("reason", unavailable.reason());
      node.put("retry_at", unavailable.retryAt().toString());
    }
    return node;
  }

  static ObjectNode of(ParseResult.Invalid invalid) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.putObject("error")
        .put("line", invalid.line())
        .put("column", invalid.column())
        .put("message", invalid.message());
    return node;
  }

  static ObjectNode error(String message) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.putObject("error").put("message", message);
    return node;
  }
}
