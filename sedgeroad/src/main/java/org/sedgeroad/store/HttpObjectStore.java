package org.sedgeroad.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpCaller;
import org.sedgeroad.http.HttpExchange;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.http.HttpResult;

/** Speaks the platform's object API, a Kubernetes-style REST protocol with JSON. */
public final class HttpObjectStore implements ObjectStore {
  private static final String ROOT = "/apis/sedgeroad.org/v1/";
  private static final int PAGE_OBJECTS = 500;
  private static final long DEFAULT_RETRY_SECONDS = 1;

  private final ObjectMapper mapper = new ObjectMapper();
  private final URI base;
  private final HttpCaller caller;
  private final MonotonicClock clock;
  private final long timeoutMillis;

  private HttpObjectStore(URI base, HttpCaller caller, MonotonicClock clock, long timeoutMillis) {
    this.base = base;
    this.caller = caller;
    this.clock = clock;
    this.timeoutMillis = timeoutMillis;
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
    return send("GET", path(kind, name), null, answer -> object(kind, answer));
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return send("POST", path(kind), body(name, 0, spec), answer -> object(kind, answer));
  }

  @Override
  public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
    return send("PUT", path(kind, name), body(name, version, spec), answer -> object(kind, answer));
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long version) {
    URI uri = URI.create(path(kind, name) + "?resourceVersion=" + version);
    return send("DELETE", uri, null, answer -> object(kind, answer));
  }

  @Override
  public StoreResult<ObjectList> list(String kind, String prefix) {
    List<StoredObject> objects = new ArrayList<>();
    long version = 0;
    String token = "";
    do {
      String query =
          "?limit=" + PAGE_OBJECTS + "&prefix=" + encode(prefix) + "&continue=" + encode(token);
      StoreResult<JsonNode> page =
          send("GET", URI.create(path(kind) + query), null, answer -> answer);
      if (!(page instanceof StoreResult.Done<JsonNode> done)) {
        return convertFailure(page);
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
    return base.resolve(ROOT + kind + "/" + encode(name));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  private byte[] body(String name, long version, JsonNode spec) {
    ObjectNode root = mapper.createObjectNode();
    ObjectNode metadata = root.putObject("metadata");
    metadata.put("name", name);
    if (version > 0) {
      metadata.put("resourceVersion", Long.toString(version));
    }
    root.set("spec", spec);
    try {
      return mapper.writeValueAsBytes(root);
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException("spec can't be written as JSON", failure);
    }
  }

  private <T> StoreResult<T> send(
      String method, URI uri, byte[] body, Function<JsonNode, T> reader) {
    HttpCall call =
        new HttpCall(
            method,
            uri,
            java.util.Map.of(),
            body == null ? new byte[0] : body,
            false,
            clock.deadlineAfterMillis(timeoutMillis));
    HttpResult result = caller.send(call);
    if (result instanceof HttpResult.Failed failed) {
      return failed.failure() instanceof HttpFailure.NotSent
          ? new StoreResult.Unavailable<>(failed.failure().reason())
          : new StoreResult.Unknown<>(failed.failure().reason());
    }
    return convert((HttpResult.Answered) result, reader);
  }

  private <T> StoreResult<T> convert(HttpResult.Answered answered, Function<JsonNode, T> reader) {
    HttpHead head = answered.head();
    switch (head.status()) {
      case 200, 201:
        try {
          return new StoreResult.Done<>(reader.apply(mapper.readTree(answered.body())));
        } catch (IOException failure) {
          return new StoreResult.Unknown<>("answer is not JSON: " + failure.getMessage());
        }
      case 404:
        return new StoreResult.Absent<>();
      case 409:
        return new StoreResult.Conflict<>();
      case 429:
        long seconds =
            head.header("Retry-After").map(Long::parseLong).orElse(DEFAULT_RETRY_SECONDS);
        return new StoreResult.Throttled<>(Instant.now().plusSeconds(seconds));
      case 503:
        return new StoreResult.Unavailable<>("store answered 503");
      default:
        return new StoreResult.Unknown<>("store answered " + head.status());
    }
  }

  private static <T> StoreResult<T> convertFailure(StoreResult<?> failure) {
    if (failure instanceof StoreResult.Throttled<?> throttled) {
      return new StoreResult.Throttled<>(throttled.retryAt());
    }
    if (failure instanceof StoreResult.Unavailable<?> unavailable) {
      return new StoreResult.Unavailable<>(unavailable.reason());
    }
    if (failure instanceof StoreResult.Unknown<?> unknown) {
      return new StoreResult.Unknown<>(unknown.reason());
    }
    return new StoreResult.Unavailable<>("list refused");
  }
}
