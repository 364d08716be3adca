package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. Thread-safe. */
final class Store implements AutoCloseable {
  /** Largest page of a list, in objects and in bytes. */
  private static final int PAGE_OBJECTS = 500;

  private static final long PAGE_BYTES = 1_000_000;
  private static final int VALUE_BYTES = 1_048_576;

  private record Change(String kind, boolean deleted, ObjectNode object) {}

  private final ObjectMapper mapper = new ObjectMapper();
  private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final HttpServer server;
  private long revision = 100;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/objects/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes an object as the operator or a worker does. */
  synchronized void put(String kind, String name, JsonNode spec) {
    write(kind, name, spec, null);
  }

  /** Removes an object as the platform does with the entry of a silent worker. */
  synchronized void remove(String kind, String name) {
    delete(kind, name, objects.get(kind + "/" + name));
  }

  synchronized int count(String kind) {
    return (int) objects.keySet().stream().filter(key -> key.startsWith(kind + "/")).count();
  }

  synchronized JsonNode find(String kind, String name) {
    ObjectNode found = objects.get(kind + "/" + name);
    return found == null ? mapper.createObjectNode() : found.deepCopy();
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      ObjectNode answer = mapper.createObjectNode();
      int status;
      if (body.length > VALUE_BYTES) {
        status = 413;
      } else {
        JsonNode content = body.length == 0 ? mapper.createObjectNode() : mapper.readTree(body);
        status = serve(exchange, query, content, answer);
      }
      byte[] bytes = mapper.writeValueAsBytes(answer);
      exchange.getResponseHeaders().add("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String part : text == null ? new String[0] : text.split("&")) {
      String[] pair = part.split("=", 2);
      values.put(pair[0], pair.length > 1 ? pair[1] : "");
    }
    return values;
  }

  private synchronized int serve(
      HttpExchange exchange, Map<String, String> query, JsonNode content, ObjectNode answer)
      throws InterruptedException {
    String[] path = exchange.getRequestURI().getPath().split("/");
    String method = exchange.getRequestMethod();
    String kind = path[2];
    if (method.equals("GET") && path.length == 3) {
      return query.containsKey("watch") ? watch(kind, query, answer) : list(kind, query, answer);
    }
    String name = path.length > 3 ? path[3] : content.path("metadata").path("name").asText();
    ObjectNode current = objects.get(kind + "/" + name);
    if (method.equals("POST")) {
      if (current != null) {
        answer.setAll(current);
        return 409;
      }
      answer.setAll(write(kind, name, content.path("spec"), null));
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
      delete(kind, name, current);
    } else if (method.equals("PUT") && path.length > 4) {
      current = write(kind, name, current.path("spec"), content.path("status"));
    } else if (method.equals("PUT")) {
      current = write(kind, name, content.path("spec"), current.path("status"));
    }
    answer.setAll(current);
    return 200;
  }

  private void delete(String kind, String name, ObjectNode current) {
    objects.remove(kind + "/" + name);
    ObjectNode removed = current.deepCopy();
    revision++;
    ((ObjectNode) removed.path("metadata")).put("revision", revision);
    history.add(new Change(kind, true, removed));
    notifyAll();
  }

  private int list(String kind, Map<String, String> query, ObjectNode answer) {
    ArrayNode items = answer.putArray("items");
    long bytes = 0;
    boolean more = false;
    String after = kind + "/" + query.getOrDefault("after", "");
    for (Map.Entry<String, ObjectNode> entry : objects.tailMap(after, false).entrySet()) {
      if (!entry.getKey().startsWith(kind + "/")) {
        break;
      }
      if (items.size() >= PAGE_OBJECTS || bytes > PAGE_BYTES) {
        more = true;
        break;
      }
      items.add(entry.getValue());
      bytes += entry.getValue().toString().length();
    }
    answer.put("hasMore", more).put("at", revision);
    return 200;
  }

  private int watch(String kind, Map<String, String> query, ObjectNode answer)
      throws InterruptedException {
    long from = Long.parseLong(query.get("watch"));
    long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000L;
    while (true) {
      ArrayNode events = answer.putArray("events");
      for (Change change : history) {
        long at = change.object().path("metadata").path("revision").asLong();
        if (at > from && change.kind().equals(kind)) {
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

  private ObjectNode write(String kind, String name, JsonNode spec, JsonNode status) {
    revision++;
    ObjectNode object = mapper.createObjectNode();
    object.putObject("metadata").put("name", name).put("revision", revision);
    object.set("spec", spec.deepCopy());
    object.set("status", status);
    objects.put(kind + "/" + name, object);
    history.add(new Change(kind, false, object.deepCopy()));
    notifyAll();
    return object;
  }
}
