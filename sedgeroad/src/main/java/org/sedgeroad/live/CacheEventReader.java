package org.sedgeroad.live;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.Endpoint;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.PrefixHints;

/**
 * Polls the engines' cache events and updates the prefix hints, one endpoint at each call. Not
 * thread-safe.
 */
public final class CacheEventReader {
  private static final long TIMEOUT_MILLIS = 500;

  private final ObjectMapper mapper = new ObjectMapper();
  private final PooledHttpClient httpClient;
  private final EndpointTable endpoints;
  private final PrefixHints hints;
  private final MonotonicClock clock;
  private final Map<URI, Long> lastSequences = new HashMap<>();
  private int currentIndex;

  /** Creates a reader. The HTTP client is not closed by it. */
  public CacheEventReader(
      PooledHttpClient httpClient,
      EndpointTable endpoints,
      PrefixHints hints,
      MonotonicClock clock) {
    this.httpClient = httpClient;
    this.endpoints = endpoints;
    this.hints = hints;
    this.clock = clock;
  }

  /** Reads the new events of the next endpoint that has hints. Blocks for at most 500 ms. */
  public void readNext() {
    List<Endpoint> known = endpoints.endpoints();
    lastSequences.keySet().retainAll(known.stream().map(Endpoint::address).toList());
    List<Endpoint> hinted =
        known.stream().filter(endpoint -> hints.hasHints(endpoint.name())).toList();
    if (!hinted.isEmpty()) {
      currentIndex = (currentIndex + 1) % hinted.size();
      read(hinted.get(currentIndex));
    }
  }

  private void read(Endpoint endpoint) {
    long since = lastSequences.getOrDefault(endpoint.address(), 0L);
    URI uri = endpoint.address().resolve("/cache-events?since=" + since);
    HttpResult result =
        httpClient.send(HttpCall.get(uri, clock.deadlineAfterMillis(TIMEOUT_MILLIS)));
    // If the engine can't be reached, its hints are kept until they expire.
    if (result instanceof HttpResult.Answered answered && answered.head().status() == 200) {
      try {
        apply(endpoint, since, mapper.readTree(answered.body()));
      } catch (IOException invalid) {
        hints.recordGap(endpoint.name());
      }
    }
  }

  private void apply(Endpoint endpoint, long since, JsonNode answer) {
    long last = since;
    for (JsonNode event : answer.path("events")) {
      long sequence = event.path("sequence").asLong();
      // The first answer may start with any number, that of the oldest event in the engine's log.
      if (last > 0 && sequence != last + 1) {
        hints.recordGap(endpoint.name());
      }
      last = Math.max(last, sequence);
      List<String> blocks = new ArrayList<>();
      event.path("blocks").forEach(block -> blocks.add(block.asText()));
      if (event.path("type").asText().equals("stored")) {
        hints.recordStored(endpoint.name(), event.path("request_id").asText(), blocks);
      } else {
        hints.recordEvicted(endpoint.name(), blocks);
      }
    }
    lastSequences.put(endpoint.address(), Math.max(last, answer.path("next").asLong()));
  }
}
