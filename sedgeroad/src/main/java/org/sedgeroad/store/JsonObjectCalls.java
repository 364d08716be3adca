package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/** Calls on objects of a store that keeps them as JSON by kind and name. Thread-safe. */
public final class JsonObjectCalls {
  private final JsonStoreCalls calls;
  private final URI base;
  private final JsonObjectFormat format;

  /**
   * Creates calls.
   *
   * @param calls sends the calls
   * @param base address of the store
   * @param format form of its objects
   */
  public JsonObjectCalls(JsonStoreCalls calls, URI base, JsonObjectFormat format) {
    this.calls = calls;
    this.base = base;
    this.format = format;
  }

  /** Returns the address of a kind. */
  public URI path(String kind) {
    return base.resolve(format.root() + JsonStoreCalls.encode(kind));
  }

  /** Returns the address of an object. */
  public URI path(String kind, String name) {
    return base.resolve(
        format.root() + JsonStoreCalls.encode(kind) + "/" + JsonStoreCalls.encode(name));
  }

  /** Reads an object. */
  public StoreResult<StoredObject> get(String kind, String name) {
    return send(kind, "GET", path(kind, name), null);
  }

  /** Creates an object. */
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return send(kind, "POST", path(kind), body(name, 0, "spec", spec));
  }

  /** Replaces the content of an object that has a version. */
  public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
    return send(kind, "PUT", path(kind, name), body(name, version, "spec", spec));
  }

  /** Replaces the status of an object that has a version. */
  public StoreResult<StoredObject> updateStatus(
      String kind, String name, long version, JsonNode status) {
    URI uri = URI.create(path(kind, name) + "/status");
    return send(kind, "PUT", uri, body(name, version, "status", status));
  }

  /** Deletes an object that has a version. */
  public StoreResult<StoredObject> delete(String kind, String name, long version) {
    URI uri = URI.create(path(kind, name) + "?" + format.versionField() + "=" + version);
    return send(kind, "DELETE", uri, null);
  }

  /**
   * Lists the objects of a kind, page by page.
   *
   * @param kind the kind
   * @param firstQuery query of the first page
   * @param nextQuery returns the query of the page after a page, empty after the last one
   * @param version returns the store's version at a page
   */
  public StoreResult<ObjectList> list(
      String kind,
      String firstQuery,
      Function<JsonNode, Optional<String>> nextQuery,
      ToLongFunction<JsonNode> version) {
    List<StoredObject> objects = new ArrayList<>();
    long firstVersion = 0;
    Optional<String> query = Optional.of(firstQuery);
    while (query.isPresent()) {
      URI uri = URI.create(path(kind) + query.get());
      StoreResult<JsonNode> answer = calls.send("GET", uri, null, page -> page);
      if (!(answer instanceof StoreResult.Done<JsonNode> done)) {
        return JsonStoreCalls.failure(answer);
      }
      JsonNode page = done.value();
      // Later pages may show newer objects, which a watch from the first page's version repeats.
      firstVersion = firstVersion == 0 ? version.applyAsLong(page) : firstVersion;
      page.path("items").forEach(item -> objects.add(format.object(kind, item)));
      query = nextQuery.apply(page);
    }
    return new StoreResult.Done<>(new ObjectList(firstVersion, objects));
  }

  // -----------------------------------------------------------------------

  private StoreResult<StoredObject> send(String kind, String method, URI uri, JsonNode body) {
    return calls.send(method, uri, body, answer -> format.object(kind, answer));
  }

  private ObjectNode body(String name, long version, String part, JsonNode content) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ObjectNode metadata = root.putObject("metadata").put("name", name);
    if (version > 0) {
      metadata.set(format.versionField(), format.version().apply(version));
    }
    root.set(part, content);
    return root;
  }
}
