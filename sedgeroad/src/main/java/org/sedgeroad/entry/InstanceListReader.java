package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.route.EndpointTable;

/** Reads the platform's instance list into the endpoint table. */
final class InstanceListReader {
  private final ObjectMapper mapper = new ObjectMapper();
  private final URI address;
  private final PooledHttpClient httpClient;
  private final EndpointTable endpoints;
  private final MonotonicClock clock;
  private final EventLog log;
  private final long timeoutMillis;
  private long version = -1;

  InstanceListReader(
      URI baseAddress,
      PooledHttpClient httpClient,
      EndpointTable endpoints,
      MonotonicClock clock,
      EventLog log,
      long timeoutMillis) {
    this.address = baseAddress.resolve("/instances");
    this.httpClient = httpClient;
    this.endpoints = endpoints;
    this.clock = clock;
    this.log = log;
    this.timeoutMillis = timeoutMillis;
  }

  /** Reads the list once; a list with an older version than the last one is ignored. */
  void read() {
    HttpResult result =
        httpClient.send(HttpCall.get(address, clock.deadlineAfterMillis(timeoutMillis)));
    if (!(result instanceof HttpResult.Answered answered) || answered.head().status() != 200) {
      log.log(LogEvent.INSTANCE_LIST_UNAVAILABLE, EventField.of("result", result));
      return;
    }
    try {
      JsonNode root = mapper.readTree(answered.body());
      if (root.path("version").asLong() < version) {
        return;
      }
      version = root.path("version").asLong();
      List<Endpoint> list = new ArrayList<>();
      root.path("instances").forEach(node -> list.add(endpoint(node)));
      endpoints.replace(list);
    } catch (IOException | IllegalArgumentException failure) {
      log.log(LogEvent.INSTANCE_LIST_UNAVAILABLE, EventField.of("cause", failure));
    }
  }

  private static Endpoint endpoint(JsonNode node) {
    return new Endpoint(
        node.path("name").asText(),
        node.path("service").asText(),
        URI.create(node.path("address").asText()),
        node.path("domain").asText(),
        node.path("region").asText(),
        node.path("state").asText().equals("leaving") ? EndpointState.LEAVING : EndpointState.LIVE);
  }
}
