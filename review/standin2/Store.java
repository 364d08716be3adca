package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store, with its rules for revisions and watches. */
final class Store implements AutoCloseable {
  static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int PAGE = 500;
  private static final int VALUE_BYTES = 1_048_576;

  private record Event(long revision, String kind, boolean deleted, ObjectNode object) {}

  private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<String, Integer> calls = new HashMap<>();
  private final HttpServer server;
  private long revision = 100;

  Store(String host, int port) throws IOException {
    server = new HttpServer(host, port, this::handle);
  }

  String address() {
    return server.address();
  }

  /** Makes all open connections silent for good; new connections are served. */
  int silenceOpenConnections() {
    int count = 0;
    for (HttpServer.Connection connection : server.connections) {
      connection.silent = true;
      count++;
    }
    return count;
  }

  /** Writes an object as the operator or a worker does; returns the revision. */
  synchronized long put(String kind, String name, JsonNode spec) {
    ObjectNode current = objects.get(kind + "/" + name);
    JsonNode status = current == null ? null : current.get("status");
    return write(kind, name, spec, status).path("metadata").path("revision").asLong();
  }

  synchronized void delete(String kind, String name) {
    ObjectNode object = objects.remove(kind + "/" + name);
    if (object != null) {
      ObjectNode gone = object.deepCopy();
      ((ObjectNode) gone.path("metadata")).put("revision", ++revision);
      record(kind, true, gone);
    }
  }

  synchronized JsonNode find(String kind, String name) {
    JsonNode found = objects.get(kind + "/" + name);
    return found == null ? MAPPER.missingNode() : found.deepCopy();
  }

  synchronized List<String> names(String kind) {
    return objects.keySet().stream()
        .filter(key -> key.startsWith(kind + "/"))
        .map(key -> key.substring(kind.length() + 1))
        .toList();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void handle(HttpServer.Request request, HttpServer.Connection connection)
      throws IOException, InterruptedException {
    if (connection.silent) {
      return;
    }
    String[] path = request.path().split("/");
    String kind = decode(path[2]);
    String watch = request.parameter("watch");
    if (request.method().equals("GET") && path.length == 3 && watch != null) {
      watch(kind, Long.parseLong(watch), request, connection);
      return;
    }
    // The store's usual time for an answer.
    Thread.sleep(4);
    ObjectNode answer = MAPPER.createObjectNode();
    int status;
    synchronized (this) {
      status = serve(request, path, kind, answer);
    }
    connection.answer(
        status, Map.of("Content-Type", "application/json"), MAPPER.writeValueAsBytes(answer));
  }

  private int serve(HttpServer.Request request, String[] path, String kind, ObjectNode answer)
      throws IOException {
    if (request.body().length > VALUE_BYTES) {
      return 413;
    }
    JsonNode content =
        request.body().length == 0
            ? MAPPER.createObjectNode()
            : MAPPER.readTree(request.body());
    if (request.method().equals("GET") && path.length == 3) {
      list(kind, request.parameter("after"), answer);
      return 200;
    }
    String name =
        path.length > 3 ? decode(path[3]) : content.path("metadata").path("name").asText();
    ObjectNode current = objects.get(kind + "/" + name);
    if (request.method().equals("POST")) {
      if (current != null) {
        answer.setAll(current);
        return 409;
      }
      answer.setAll(write(kind, name, content.path("spec"), null));
      return 201;
    }
    if (current == null) {
      return 404;
    }
    String inQuery = request.parameter("revision");
    long expected =
        inQuery == null
            ? content.path("metadata").path("revision").asLong()
            : Long.parseLong(inQuery);
    if (expected > 0 && expected != current.path("metadata").path("revision").asLong()) {
      answer.setAll(current);
      return 409;
    }
    switch (request.method()) {
      case "DELETE" -> {
        answer.setAll(current);
        delete(kind, name);
      }
      case "PUT" -> {
        boolean status = path.length > 4;
        JsonNode spec = status ? current.get("spec") : content.get("spec");
        JsonNode next = status ? content.get("status") : current.get("status");
        boolean same = spec.equals(current.get("spec")) && equal(next, current.get("status"));
        answer.setAll(same ? current : write(kind, name, spec, next));
      }
      default -> answer.setAll(current);
    }
    return 200;
  }

  private static boolean equal(JsonNode one, JsonNode other) {
    return one == null ? other == null : one.equals(other);
  }

  private void list(String kind, String after, ObjectNode answer) {
    ArrayNode items = answer.putArray("items");
    String start = kind + "/" + (after == null ? "" : decode(after));
    boolean more = false;
    for (Map.Entry<String, ObjectNode> entry : objects.tailMap(start, false).entrySet()) {
      if (!entry.getKey().startsWith(kind + "/")) {
        break;
      }
      if (items.size() == PAGE) {
        more = true;
        break;
      }
      items.add(entry.getValue());
    }
    answer.put("hasMore", more).put("at", revision);
  }

  private void watch(
      String kind, long after, HttpServer.Request request, HttpServer.Connection connection)
      throws IOException, InterruptedException {
    long end = System.nanoTime() + Long.parseLong(request.parameter("waitMs")) * 1_000_000L;
    ObjectNode answer = MAPPER.createObjectNode();
    ArrayNode events = answer.putArray("events");
    synchronized (this) {
      while (true) {
        for (Event event : history) {
          if (event.kind().equals(kind) && event.revision() > after) {
            events.addObject().put("deleted", event.deleted()).set("object", event.object());
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000L;
        if (!events.isEmpty() || left <= 0) {
          break;
        }
        wait(left);
      }
      answer.put("at", revision);
    }
    connection.answer(
        200, Map.of("Content-Type", "application/json"), MAPPER.writeValueAsBytes(answer));
  }

  private ObjectNode write(String kind, String name, JsonNode spec, JsonNode status) {
    revision++;
    ObjectNode object = MAPPER.createObjectNode();
    object.putObject("metadata").put("name", name).put("revision", revision);
    object.set("spec", spec);
    if (status != null) {
      object.set("status", status);
    }
    objects.put(kind + "/" + name, object);
    record(kind, false, object.deepCopy());
    return object;
  }

  private void record(String kind, boolean deleted, ObjectNode object) {
    history.add(
        new Event(object.path("metadata").path("revision").asLong(), kind, deleted, object));
    notifyAll();
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
