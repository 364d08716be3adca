package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import java.net.URI;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.PooledHttpClient;

/** Object store client for the platform's Kubernetes-style REST protocol with JSON. */
public final class HttpObjectStore implements ObjectStore {
  /** Format of the objects. The null argument makes an object without content count as deleted. */
  static final JsonObjectFormat FORMAT =
      new JsonObjectFormat(
          "/apis/sedgeroad.org/v1/",
          "resourceVersion",
          version -> TextNode.valueOf(Long.toString(version)),
          null);

  private static final int PAGE_OBJECTS = 500;
  private static final long DEFAULT_RETRY_MILLIS = 1_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final PooledHttpClient httpClient;
  private final MonotonicClock clock;
  private final URI base;
  private final JsonObjectCalls calls;

  private HttpObjectStore(
      URI base, PooledHttpClient httpClient, MonotonicClock clock, long timeoutMillis) {
    this.httpClient = httpClient;
    this.clock = clock;
    this.base = base;
    this.calls =
        new JsonObjectCalls(
            new JsonStoreCalls(httpClient, clock, timeoutMillis, DEFAULT_RETRY_MILLIS),
            base,
            FORMAT);
  }

  /**
   * Returns a client for the store at an address.
   *
   * @param base address of the store, {@code http://IP:PORT}, not null
   * @param httpClient HTTP client, not null; stays open when the returned store client is closed
   * @param timeoutMillis maximum wait for an answer, in milliseconds
   */
  public static HttpObjectStore of(URI base, PooledHttpClient httpClient, long timeoutMillis) {
    return new HttpObjectStore(base, httpClient, MonotonicClock.SYSTEM, timeoutMillis);
  }

  @Override
  public StoreResult<StoredObject> get(String kind, String name) {
    return calls.get(kind, name);
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return calls.create(kind, name, spec);
  }

  @Override
  public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
    return calls.update(kind, name, version, spec);
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long version) {
    return calls.delete(kind, name, version);
  }

  @Override
  public StoreResult<ObjectList> list(String kind, String prefix) {
    String query =
        "?limit=" + PAGE_OBJECTS + "&prefix=" + JsonStoreCalls.encode(prefix) + "&continue=";
    return calls.list(
        kind,
        query,
        page ->
            Optional.of(page.path("metadata").path("continue").asText(""))
                .filter(token -> !token.isEmpty())
                .map(token -> query + JsonStoreCalls.encode(token)),
        page -> page.path("metadata").path("resourceVersion").asLong());
  }

  @Override
  public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
    URI uri = URI.create(calls.uri(kind) + "?watch=true&resourceVersion=" + afterVersion);
    long farFutureNanos = Long.MAX_VALUE / 2 + clock.nanos();
    HttpCall call = new HttpCall("GET", uri, Map.of(), new byte[0], true, farFutureNanos);
    return httpClient.start(call, new WatchReader(kind, mapper, listener));
  }

  @Override
  public void renewConnections() {
    httpClient.closeIdle(base);
  }

  @Override
  public void close() {
    // The HTTP client is closed by the code that passed it to of().
  }
}
