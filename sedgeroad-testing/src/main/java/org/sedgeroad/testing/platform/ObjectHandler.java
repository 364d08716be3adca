package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.ConnectionCloseDetector;

/** Serves the object API of section 2.1 of the design page and injects the configured faults. */
final class ObjectHandler {
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final int MAX_PAGE_OBJECTS = 1_000;

  private final ObjectTable table;
  private final PlatformFaults faults;
  private final PlatformCounters counters;
  private final Set<WatchSession> sessions = ConcurrentHashMap.newKeySet();
  private final Set<HttpServerExchange> hanging = ConcurrentHashMap.newKeySet();

  ObjectHandler(ObjectTable table, PlatformFaults faults, PlatformCounters counters) {
    this.table = table;
    this.faults = faults;
    this.counters = counters;
  }

  void handle(HttpServerExchange exchange, byte[] body) {
    counters.bytesIn.add(body.length);
    long delay = faults.nextDelayMillis();
    if (delay == 0) {
      admit(exchange, body);
    } else {
      exchange
          .getIoThread()
          .executeAfter(() -> admit(exchange, body), delay, TimeUnit.MILLISECONDS);
    }
  }

  /** Closes the connections of all watches without ending their answers. */
  void cutWatches() {
    sessions.forEach(WatchSession::abort);
  }

  /**
   * Leaves a call without an answer until its caller or {@link #dropHanging} closes the connection.
   */
  void hang(HttpServerExchange exchange) {
    hanging.add(exchange);
    ConnectionCloseDetector.start(exchange, () -> hanging.remove(exchange));
  }

  /** Closes the connections of all calls that were left without an answer. */
  void dropHanging() {
    hanging.forEach(Answers::drop);
  }

  private void admit(HttpServerExchange exchange, byte[] body) {
    if (faults.outage() == OutageMode.HANG) {
      counters.unavailable.increment();
      hang(exchange);
      return;
    }
    if (faults.outage() != OutageMode.NONE) {
      counters.unavailable.increment();
      send(exchange, 503, StoreAnswers.status(503, "ServiceUnavailable", "outage"));
      return;
    }
    boolean write = !exchange.getRequestMethod().equalToString("GET");
    long retrySeconds = faults.takeToken(write);
    if (retrySeconds > 0) {
      counters.throttled.increment();
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retrySeconds);
      send(exchange, 429, StoreAnswers.status(429, "TooManyRequests", "rate limit"));
      return;
    }
    try {
      ObjectPath path =
          ObjectPath.parse(exchange)
              .orElseThrow(() -> new IllegalArgumentException("unknown path"));
      serve(exchange, path, body);
    } catch (IllegalArgumentException | IOException failure) {
      String message = String.valueOf(failure.getMessage());
      send(exchange, 400, StoreAnswers.status(400, "BadRequest", message));
    }
  }

  private void serve(HttpServerExchange exchange, ObjectPath path, byte[] body) throws IOException {
    boolean named = !path.name().isEmpty();
    String call = exchange.getRequestMethod() + (named ? " object" : " kind");
    switch (call) {
      case "GET object" -> get(exchange, path);
      case "GET kind" -> {
        if (path.isWatch()) {
          watch(exchange, path);
        } else {
          list(exchange, path);
        }
      }
      case "POST kind" -> create(exchange, path, WriteRequest.parse(body));
      case "PUT object" -> update(exchange, path, WriteRequest.parse(body));
      case "DELETE object" -> {
        long expected = path.number("resourceVersion", -1);
        writeAndAnswer(exchange, path, 200, () -> table.delete(path.kind(), path.name(), expected));
      }
      default -> send(exchange, 405, StoreAnswers.status(405, "MethodNotAllowed", call));
    }
  }

  private void get(HttpServerExchange exchange, ObjectPath path) {
    counters.reads.increment();
    table
        .get(path.kind(), path.name())
        .ifPresentOrElse(
            object -> send(exchange, 200, StoreAnswers.object(object)),
            () -> send(exchange, 404, StoreAnswers.status(404, "NotFound", path.name())));
  }

  private void list(HttpServerExchange exchange, ObjectPath path) {
    counters.reads.increment();
    int limit = (int) Math.min(MAX_PAGE_OBJECTS, path.number("limit", MAX_PAGE_OBJECTS));
    String after =
        new String(Base64.getUrlDecoder().decode(path.query("continue")), StandardCharsets.UTF_8);
    ObjectPage page = table.list(path.kind(), path.query("prefix"), after, Math.max(1, limit));
    String continuation = "";
    if (!page.last()) {
      String name = page.objects().get(page.objects().size() - 1).name();
      continuation =
          Base64.getUrlEncoder()
              .withoutPadding()
              .encodeToString(name.getBytes(StandardCharsets.UTF_8));
    }
    send(exchange, 200, StoreAnswers.page(page, continuation));
  }

  private void watch(HttpServerExchange exchange, ObjectPath path) {
    counters.watches.increment();
    WatchSession session = WatchSession.of(exchange, path.query("prefix"), counters);
    if (path.query("resourceVersion").isEmpty()) {
      table.watchFromNow(path.kind(), session);
    } else if (!table.watch(path.kind(), path.number("resourceVersion", 0), session)) {
      send(exchange, 410, StoreAnswers.status(410, "Expired", "resourceVersion is too old"));
      return;
    }
    sessions.add(session);
    counters.watchesOpen.increment();
    ConnectionCloseDetector.start(
        exchange,
        () -> {
          table.unwatch(path.kind(), session);
          if (sessions.remove(session)) {
            counters.watchesOpen.decrement();
          }
        });
    session.begin();
  }

  private void create(HttpServerExchange exchange, ObjectPath path, WriteRequest request) {
    if (request.isTooLarge(MAX_VALUE_BYTES)) {
      send(exchange, 413, StoreAnswers.status(413, "RequestEntityTooLarge", request.name()));
      return;
    }
    String name = request.requiredName();
    writeAndAnswer(exchange, path, 201, () -> table.create(path.kind(), name, request.spec()));
  }

  private void update(HttpServerExchange exchange, ObjectPath path, WriteRequest request) {
    if (request.isTooLarge(MAX_VALUE_BYTES)) {
      send(exchange, 413, StoreAnswers.status(413, "RequestEntityTooLarge", path.name()));
      return;
    }
    long expected = request.requiredVersion();
    writeAndAnswer(
        exchange,
        path,
        200,
        () -> table.update(path.kind(), path.name(), expected, request.spec()));
  }

  private void writeAndAnswer(
      HttpServerExchange exchange, ObjectPath path, int success, Supplier<WriteResult> write) {
    counters.writes.increment();
    WriteResult result = write.get();
    if (result instanceof WriteResult.Written written) {
      if (faults.consumeAnswerLoss(path.kind())) {
        counters.answersLost.increment();
        if (faults.hangsOnLostAnswer()) {
          hang(exchange);
        } else {
          Answers.drop(exchange);
        }
        return;
      }
      send(exchange, success, StoreAnswers.object(written.object()));
    } else if (result instanceof WriteResult.Mismatch mismatch) {
      counters.conflicts.increment();
      ObjectNode status = StoreAnswers.status(409, "Conflict", "version does not match");
      status.put("resourceVersion", Long.toString(mismatch.currentVersion()));
      send(exchange, 409, status);
    } else {
      send(exchange, 404, StoreAnswers.status(404, "NotFound", path.name()));
    }
  }

  private void send(HttpServerExchange exchange, int status, JsonNode answer) {
    counters.bytesOut.add(Answers.toBytes(answer).length);
    Answers.send(exchange, status, answer);
  }
}
