package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpExchange;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.store.StoredObject;

/** Asks other instances for changes over HTTP. The other side is {@link PeerChangesHandler}. */
final class HttpPeerChanges implements PeerChanges {
  static final String PATH = "/changes";
  static final int OK = 200;
  static final int GONE = 410;

  /**
   * Time allowed for a call beyond its wait, in milliseconds, as for a watch of the store; a pause
   * of the hub's process is shorter, and would otherwise cost store calls of all its members.
   */
  private static final long ANSWER_GRACE_MILLIS = 1_000;

  private final InstanceDirectory instances;
  private final PooledHttpClient httpClient;
  private final MonotonicClock clock;
  private final ObjectMapper mapper = new ObjectMapper();

  HttpPeerChanges(InstanceDirectory instances, PooledHttpClient httpClient, MonotonicClock clock) {
    this.instances = instances;
    this.httpClient = httpClient;
    this.clock = clock;
  }

  @Override
  public AutoCloseable read(
      String instance, String kind, long afterVersion, long waitMillis, Consumer<Answer> result) {
    String query = "?kind=" + kind + "&after=" + afterVersion + "&wait_millis=" + waitMillis;
    Optional<URI> uri = instances.exchangeUri(instance, PATH + query);
    if (uri.isEmpty()) {
      result.accept(new Answer.Unavailable("unknown instance " + instance));
      return () -> {};
    }
    HttpCall call =
        HttpCall.get(uri.get(), clock.deadlineAfterMillis(waitMillis + ANSWER_GRACE_MILLIS));
    HttpExchange exchange =
        httpClient.start(call, (HttpResult answer) -> result.accept(decode(kind, answer)));
    return exchange::close;
  }

  private Answer decode(String kind, HttpResult result) {
    if (result instanceof HttpResult.Answered answered) {
      if (answered.head().status() == GONE) {
        return new Answer.Expired();
      }
      try {
        if (answered.head().status() == OK) {
          return decode(kind, mapper.readTree(answered.body()));
        }
      } catch (IOException malformed) {
        return new Answer.Unavailable(malformed.getMessage());
      }
    }
    return new Answer.Unavailable(result.toString());
  }

  private static Answer decode(String kind, JsonNode root) {
    List<StoredObject> objects = new ArrayList<>();
    for (JsonNode change : root.path("changes")) {
      objects.add(
          new StoredObject(
              kind,
              change.path("name").asText(),
              change.path("version").asLong(),
              change.get("spec")));
    }
    return new Answer.Changes(root.path("version").asLong(), objects);
  }

  /** Returns the body of an answer; a deletion has no content. */
  static byte[] encode(Answer.Changes answer) {
    ObjectNode root = JsonNodeFactory.instance.objectNode().put("version", answer.version());
    ArrayNode changes = root.putArray("changes");
    for (StoredObject object : answer.objects()) {
      ObjectNode change = changes.addObject().put("name", object.name());
      change.put("version", object.version());
      if (!object.isDeleted()) {
        change.set("spec", object.spec());
      }
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }
}
