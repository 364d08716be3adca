package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpCaller;
import org.sedgeroad.http.HttpExchange;

/** Speaks the platform's object API, a Kubernetes-style REST protocol with JSON. */
public final class HttpObjectStore implements ObjectStore {
  private static final String ROOT = "/apis/sedgeroad.org/v1/";
  private static final int PAGE_OBJECTS = 500;
  private static final long DEFAULT_RETRY_MILLIS = 1_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final URI base;
  private final HttpCaller caller;
  private final MonotonicClock clock;
  private final JsonStoreCalls calls;

  private HttpObjectStore(URI base, HttpCaller caller, MonotonicClock clock, long timeoutMillis) {
    this.base = base;
    this.caller = caller;
    this.clock = clock;
    this.calls = new JsonStoreCalls(caller, clock, timeoutMillis, DEFAULT_RETRY_MILLIS);
  }

  /**
   * Returns a client for the store at an address.
   *
   * @param base address of the store, {@code http://IP:PORT}
   * @param caller HTTP client, not closed by the result
   * @param timeoutMillis longest wait for an answer, in milliseconds
   */
  public static HttpObjectStore of(URI base, HttpCaller caller, long timeoutMillis) {
    return new HttpObjectStore(base, caller, MonotonicClock.SYSTEM, timeoutMillis);
  }

  // -----------------------------------------------------------------------

  @Override
  public StoreResult<StoredObject> get(String kind, String name) {
    return calls.send("GET", path(kind, name), null, answer -> object(kind, answer));
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return calls.send("POST", path(kind), body(name, 0, spec), answer -> object(kind, answer));
  }

  @Override
  public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
    return calls.send(
        "PUT", path(kind, name), body(name, version, spec), answer -> object(kind, answer));
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long version) {
    URI uri = URI.create(path(kind, name) + "?resourceVersion=" + version);
    return calls.send("DELETE", uri, null, answer -> object(kind, answer));
  }

  @Override
  public StoreResult<ObjectList> list(String kind, String prefix) {
    List<StoredObject> objects = new ArrayList<>();
    long version = 0;
    String token = "";
    do {
      String query =
          "?limit="
              + PAGE_OBJECTS
              + "&prefix="
              + JsonStoreCalls.encode(prefix)
              + "&continue="
              + JsonStoreCalls.encode(token);
      StoreResult<JsonNode> page =
          calls.send("GET", URI.create(path(kind) + query), null, answer -> answer);
      if (!(page instanceof StoreResult.Done<JsonNode> done)) {
        return JsonStoreCalls.failure(page);
      }
      JsonNode metadata = done.value().path("metadata");
      // The first page's version is the one to watch from: later pages may show newer objects,
      // which the watch then repeats.
      version = version == 0 ? metadata.path("resourceVersion").asLong() : version;
      token = metadata.path("continue").asText("");
      done.value().path("items").forEach(item -> objects.add(object(kind, item)));
    } while (!token.isEmpty());
    return new StoreResult.Done<>(new ObjectList(version, objects));
  }

  @Override
  public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
    URI uri = URI.create(path(kind) + "?watch=true&resourceVersion=" + afterVersion);
    HttpCall call =
        new HttpCall(
            "GET", uri, java.util.Map.of(), new byte[0], true, Long.MAX_VALUE / 2 + clock.nanos());
    HttpExchange exchange = caller.start(call, new WatchReader(kind, mapper, listener));
    return exchange;
  }

  @Override
  public void close() {
    // The HTTP client belongs to the caller of of().
  }

  // -----------------------------------------------------------------------

  static StoredObject object(String kind, JsonNode node) {
    JsonNode metadata = node.path("metadata");
    JsonNode spec = node.get("spec");
    return new StoredObject(
        kind,
        metadata.path("name").asText(),
        metadata.path("resourceVersion").asLong(),
        spec == null || spec.isNull() ? null : spec);
  }

  private URI path(String kind) {
    return base.resolve(ROOT + kind);
  }

  private URI path(String kind, String name) {
    return base.resolve(ROOT + kind + "/" + JsonStoreCalls.encode(name));
  }

  private ObjectNode body(String name, long version, JsonNode spec) {
    ObjectNode root = mapper.createObjectNode();
    ObjectNode metadata = root.putObject("metadata");
    metadata.put("name", name);
    if (version > 0) {
      metadata.put("resourceVersion", Long.toString(version));
    }
    root.set("spec", spec);
    return root;
  }
}
