package org.sedgeroad.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's metadata store: objects by kind and name, conditional changes, lists
 * and watches, as PROTOCOL.md describes them. Thread-safe.
 */
final class StoreServer implements AutoCloseable {
  /** Largest object, in bytes ({@code valueBytes}). */
  private static final int VALUE_BYTES = 1_048_576;

  /** What the store does with calls. */
  enum Mode {
    /** Answers. */
    UP,
    /** Answers 503; nothing is done. */
    BUSY,
    /** Nothing is done and nothing is answered; connections are closed when this ends. */
    SILENT
  }

  private record Change(long revision, String kind, boolean deleted, ObjectNode object) {}

  private final ObjectMapper mapper = new ObjectMapper();
  private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;
  private final CaseRecord record;
  private Mode mode = Mode.UP;
  private long revision = 100;

  StoreServer(CaseRecord record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    server.setExecutor(threads);
    server.createContext("/objects/", this::receive);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  synchronized void setMode(Mode next) {
    mode = next;
    record.add("store: " + next);
    notifyAll();
  }

  /** Writes an object as the operator or a worker does. */
  synchronized void put(String kind, String name, JsonNode spec) {
    write(kind, name, spec, mapper.createArrayNode(), null);
  }

  /** Returns the number of objects of a kind whose name begins with a prefix. */
  synchronized long count(String kind, String prefix) {
    return objects.keySet().stream().filter(key -> key.startsWith(kind + "/" + prefix)).count();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private void receive(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      if (!awaitService(exchange)) {
        return;
      }
      ObjectNode answer = mapper.createObjectNode();
      int status = serve(exchange, body, answer);
      byte[] bytes = mapper.writeValueAsBytes(answer);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  /** Returns whether the call is to be served; handles it if not. */
  private boolean awaitService(HttpExchange exchange) throws IOException, InterruptedException {
    synchronized (this) {
      if (mode == Mode.UP) {
        return true;
      }
      if (mode == Mode.SILENT) {
        while (mode == Mode.SILENT) {
          wait(100);
        }
        return false;
      }
    }
    exchange.sendResponseHeaders(503, -1);
    return false;
  }

  private int serve(HttpExchange exchange, byte[] body, ObjectNode answer)
      throws IOException, InterruptedException {
    String[] path = exchange.getRequestURI().getPath().split("/");
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    String method = exchange.getRequestMethod();
    String kind = path[2];
    if (method.equals("GET") && path.length == 3) {
      return query.containsKey("watch")
          ? watch(kind, query, answer)
          : list(kind, query.getOrDefault("after", ""), answer);
    }
    JsonNode content = body.length == 0 ? mapper.createObjectNode() : mapper.readTree(body);
    String name = path.length > 3 ? path[3] : content.path("metadata").path("name").asText();
    boolean tooLarge = body.length > VALUE_BYTES;
    if (!method.equals("GET")) {
      record.add(
          "store: " + method + " " + kind + "/" + name + ", " + body.length + " bytes"
              + (tooLarge ? ": refused, over valueBytes" : ""));
    }
    if (tooLarge) {
      answer.put("error", "an object has at most " + VALUE_BYTES + " bytes");
      return 413;
    }
    return change(method, kind, name, path.length > 4, content, query, answer);
  }

  private synchronized int change(
      String method,
      String kind,
      String name,
      boolean statusOnly,
      JsonNode content,
      Map<String, String> query,
      ObjectNode answer) {
    ObjectNode current = objects.get(kind + "/" + name);
    if (method.equals("POST")) {
      if (current != null) {
        answer.setAll(current);
        return 409;
      }
      answer.setAll(write(kind, name, content.path("spec"), finalizers(content), null));
      return 200;
    }
    if (current == null) {
      return 404;
    }
    long expected =
        query.containsKey("revision")
            ? Long.parseLong(query.get("revision"))
            : content.path("metadata").path("revision").asLong();
    if (expected > 0 && expected != current.path("metadata").path("revision").asLong()) {
      answer.setAll(current);
      return 409;
    }
    if (method.equals("DELETE")) {
      objects.remove(kind + "/" + name);
      revision++;
      history.add(new Change(revision, kind, true, current));
      answer.setAll(current);
      notifyAll();
    } else if (method.equals("PUT") && statusOnly) {
      JsonNode kept = current.path("metadata").path("finalizers");
      answer.setAll(write(kind, name, current.path("spec"), kept, content.path("status")));
    } else if (method.equals("PUT")) {
      JsonNode status = current.get("status");
      answer.setAll(write(kind, name, content.path("spec"), finalizers(content), status));
    } else {
      answer.setAll(current);
    }
    return 200;
  }

  private JsonNode finalizers(JsonNode content) {
    JsonNode given = content.path("metadata").path("finalizers");
    return given.isArray() ? given : mapper.createArrayNode();
  }

  private synchronized int list(String kind, String after, ObjectNode answer) {
    ArrayNode items = answer.putArray("items");
    boolean more = false;
    for (Map.Entry<String, ObjectNode> entry : objects.tailMap(kind + "/" + after).entrySet()) {
      if (!entry.getKey().startsWith(kind + "/")) {
        break;
      }
      if (!after.isEmpty() && entry.getKey().equals(kind + "/" + after)) {
        continue;
      }
      if (items.size() == 500) {
        more = true;
        break;
      }
      items.add(entry.getValue());
    }
    answer.put("hasMore", more).put("at", revision);
    return 200;
  }

  private synchronized int watch(String kind, Map<String, String> query, ObjectNode answer)
      throws InterruptedException {
    long from = Long.parseLong(query.get("watch"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
    ArrayNode events = answer.putArray("events");
    while (true) {
      for (Change change : history) {
        if (change.revision() > from && change.kind().equals(kind)) {
          events.addObject().put("deleted", change.deleted()).set("object", change.object());
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000L;
      if (!events.isEmpty() || left <= 0) {
        answer.put("at", revision);
        return 200;
      }
      wait(left);
    }
  }

  private ObjectNode write(
      String kind, String name, JsonNode spec, JsonNode finalizers, JsonNode status) {
    revision++;
    ObjectNode object = mapper.createObjectNode();
    ObjectNode metadata = object.putObject("metadata");
    metadata.put("name", name).put("revision", revision).put("deleting", false);
    metadata.set("finalizers", finalizers);
    object.set("spec", spec);
    object.set("status", status);
    objects.put(kind + "/" + name, object);
    history.add(new Change(revision, kind, false, object));
    notifyAll();
    return object;
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String part : text == null ? new String[0] : text.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        values.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }
}
