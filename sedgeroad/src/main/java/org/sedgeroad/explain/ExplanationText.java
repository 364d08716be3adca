package org.sedgeroad.explain;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Formats explanations as lines of text or as JSON. */
public final class ExplanationText {
  private ExplanationText() {}

  /** Returns one line for each event, with its time in seconds since the first event of the id. */
  public static List<String> lines(Explanation explanation) {
    List<String> lines = new ArrayList<>();
    Instant start = firstOwnTime(explanation);
    for (ExplainedEvent explained : explanation.events()) {
      LoggedEvent event = explained.event();
      lines.add(
          String.format(
              Locale.ROOT,
              "%+9.3f s  %s %-24s %d %s  %s",
              Duration.between(start, event.time()).toNanos() / 1e9,
              relationSymbol(explained.relation()),
              event.instance(),
              event.number(),
              event.message(),
              fields(explanation.id(), event)));
    }
    return lines;
  }

  /** Returns the explanation as one JSON object. */
  public static ObjectNode json(Explanation explanation) {
    ObjectNode root = JsonNodeFactory.instance.objectNode().put("id", explanation.id());
    ArrayNode events = root.putArray("events");
    for (ExplainedEvent explained : explanation.events()) {
      LoggedEvent event = explained.event();
      ObjectNode node = events.addObject().put("time", event.time().toString());
      node.put("relation", explained.relation().name().toLowerCase(Locale.ROOT));
      node.put("instance", event.instance());
      node.put("event", event.number()).put("message", event.message());
      ObjectNode fields = node.putObject("fields");
      event.fields().forEach(fields::put);
    }
    return root;
  }

  /** Returns the time of the first event of the id, the epoch if there is none. */
  private static Instant firstOwnTime(Explanation explanation) {
    return explanation.events().stream()
        .filter(event -> event.relation() == ExplainedEvent.Relation.OWN)
        .map(event -> event.event().time())
        .findFirst()
        .orElse(Instant.EPOCH);
  }

  private static String relationSymbol(ExplainedEvent.Relation relation) {
    return switch (relation) {
      case OWN -> "*";
      case INSTANCE -> "i";
      case ENDPOINT -> "e";
    };
  }

  /** Returns all fields but those whose value is the explained id. */
  private static String fields(String id, LoggedEvent event) {
    return event.fields().entrySet().stream()
        .filter(field -> !field.getValue().equals(id))
        .map(field -> field.getKey() + "=" + quoted(field.getValue()))
        .collect(Collectors.joining(" "));
  }

  private static String quoted(String value) {
    return value.isEmpty() || value.contains(" ") ? '"' + value + '"' : value;
  }
}
