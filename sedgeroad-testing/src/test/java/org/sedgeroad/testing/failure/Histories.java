package org.sedgeroad.testing.failure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.EndpointProcess;

/** Static methods that read the histories of the stand-ins and the result files of jobs. */
final class Histories {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Histories() {}

  /** Returns the events of one type at all running engines. */
  static List<JsonNode> engineEvents(Deployment deployment, String type) {
    List<JsonNode> events = new ArrayList<>();
    for (EndpointProcess engine : deployment.engines()) {
      if (engine.process().isAlive()) {
        read(deployment, engine, "events")
            .forEach(
                event -> {
                  if (event.path("event").asText().equals(type)) {
                    events.add(event);
                  }
                });
      }
    }
    return events;
  }

  /**
   * Returns the fingerprints of the prompts whose runs at an engine have produced a first token and
   * have not ended.
   */
  static Set<String> promptsInFlight(Deployment deployment, EndpointProcess engine) {
    Map<String, String> inFlight = new HashMap<>();
    for (JsonNode event : read(deployment, engine, "events")) {
      String run = event.path("request_id").asText();
      switch (event.path("event").asText()) {
        case "first_token" -> inFlight.put(run, event.path("fingerprint").asText());
        case "finish", "cancel" -> inFlight.remove(run);
        default -> {
          // Other events, such as the start of a run, do not show that its answer has begun.
        }
      }
    }
    return new HashSet<>(inFlight.values());
  }

  /** Returns the fingerprints of the prompts for which an engine has produced a first token. */
  static Set<String> promptsBegun(Deployment deployment, EndpointProcess engine) {
    Set<String> begun = new HashSet<>();
    for (JsonNode event : read(deployment, engine, "events")) {
      if (event.path("event").asText().equals("first_token")) {
        begun.add(event.path("fingerprint").asText());
      }
    }
    return begun;
  }

  /** Returns the executions recorded by all plain service endpoints. */
  static List<JsonNode> executions(Deployment deployment) {
    List<JsonNode> executions = new ArrayList<>();
    for (EndpointProcess service : deployment.serviceEndpoints()) {
      read(deployment, service, "executions").forEach(executions::add);
    }
    return executions;
  }

  /** Returns the number of events after an instant. */
  static long countAfter(List<JsonNode> events, Instant instant) {
    long micros = ChronoUnit.MICROS.between(Instant.EPOCH, instant);
    return events.stream().filter(event -> event.path("time_micros").asLong() > micros).count();
  }

  /** Returns the custom ids in the output and error files of a batch. */
  static List<String> resultIds(ApiClient client, JsonNode batch) {
    List<String> ids = new ArrayList<>();
    for (String field : List.of("output_file_id", "error_file_id")) {
      String path = "/v1/files/" + batch.path(field).asText() + "/content";
      client
          .get(path)
          .body()
          .lines()
          .filter(line -> !line.isBlank())
          .forEach(line -> ids.add(parse(line).path("custom_id").asText()));
    }
    return ids;
  }

  static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static JsonNode read(Deployment deployment, EndpointProcess process, String list) {
    return parse(deployment.read(process.address().resolve("/control/history"))).path(list);
  }
}
