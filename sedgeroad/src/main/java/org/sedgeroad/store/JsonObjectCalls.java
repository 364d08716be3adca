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

/** Sends calls to a store that keeps JSON objects by kind and name. Thread-safe. */
public final class JsonObjectCalls {
  private final JsonStoreCalls calls;
  private final URI base;
  private final JsonObjectFormat format;

  /**
   * Creates a sender of calls to one store.
   *
   * @param calls sends HTTP requests and interprets the answers
   * @param base address of the store
   * @param format JSON format of its objects
   */
  public JsonObjectCalls(JsonStoreCalls calls, URI base, JsonObjectFormat format) {
    this.calls = calls;
    this.base = base;
    this.format = format;
  }

  /** Returns the URI of a kind. */
  public URI uri(String kind) {
    return base.resolve(format.root() + JsonStoreCalls.encode(kind));
  }

  /** Returns the URI of an object. */
  public URI uri(String kind, String name) {
    return base.resolve(
        format.root() + JsonStoreCalls.encode(kind) + "/" + JsonStoreCalls.encode(name));
  }

  /** Reads an object. */
  public StoreResult<StoredObject> get(String kind, String name) {
    return send(kind, "GET", uri(kind, name), null);
  }

  /**
   * Reads an object with a query.
   *
   * @param query query with its question mark
   */
  public StoreResult<StoredObject> get(String kind, String name, String query) {
    return send(kind, "GET", URI.create(uri(kind, name) + query), null);
  }

  /** Creates an object; {@link StoreResult.Conflict} if the name exists. */
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return send(kind, "POST", uri(kind), body(name, 0, "spec", spec));
  }

  /** Replaces the content of an object if it still has the given version. */
  public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
    return send(kind, "PUT", uri(kind, name), body(name, version, "spec", spec));
  }

  /** Replaces the status of an object if it still has the given version. */
  public StoreResult<StoredObject> updateStatus(
      String kind, String name, long version, JsonNode status) {
    URI uri = URI.create(uri(kind, name) + "/status");
    return send(kind, "PUT", uri, body(name, version, "status", status));
  }

  /** Deletes an object if it still has the given version. */
  public StoreResult<StoredObject> delete(String kind, String name, long version) {
    URI uri = URI.create(uri(kind, name) + "?" + format.versionField() + "=" + version);
    return send(kind, "DELETE", uri, null);
  }

  /**
   * Lists the objects of a kind, page by page.
   *
   * @param kind the kind
   * @param firstQuery query of the first page
   * @param nextQuery returns the query of the page that follows a page, empty for the last page
   * @param version returns the store version at which a page was taken
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
      URI uri = URI.create(uri(kind) + query.get());
      StoreResult<JsonNode> answer = calls.send("GET", uri, null, page -> page);
      if (!(answer instanceof StoreResult.Done<JsonNode> done)) {
        return JsonStoreCalls.castFailure(answer);
      }
      JsonNode page = done.value();
      // Later pages may contain newer objects. A watch that starts at the first page's version
      // delivers those again.
      firstVersion = firstVersion == 0 ? version.applyAsLong(page) : firstVersion;
      page.path("items").forEach(item -> objects.add(format.parse(kind, item)));
      query = nextQuery.apply(page);
    }
    return new StoreResult.Done<>(new ObjectList(firstVersion, objects));
  }

  private StoreResult<StoredObject> send(String kind, String method, URI uri, JsonNode body) {
    return calls.send(method, uri, body, answer -> format.parse(kind, answer));
  }

  private ObjectNode body(String name, long version, String contentField, JsonNode content) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ObjectNode metadata = root.putObject("metadata").put("name", name);
    if (version > 0) {
      metadata.set(format.versionField(), format.version().apply(version));
    }
    root.set(contentField, content);
    return root;
  }
}
