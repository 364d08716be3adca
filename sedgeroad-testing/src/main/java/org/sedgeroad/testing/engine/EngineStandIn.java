package org.sedgeroad.testing.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.net.URI;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.testing.LaggedValue;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.ConnectionCloseDetector;
import org.sedgeroad.testing.http.ControlFields;
import org.sedgeroad.testing.http.StandInServer;

/**
 * Stand-in for a model engine. It serves the protocol of section 2.2 of the design page and a
 * control API, and simulates continuous batching and a prefix cache. Thread-safe.
 */
public final class EngineStandIn implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(EngineStandIn.class.getName());
  private static final int CRASH_EXIT_STATUS = 134;
  private static final long CRASH_DELAY_MILLIS = 20;

  private final EngineOptions options;
  private final EngineHistory history = new EngineHistory();
  private final CacheEventLog cacheEvents;
  private final LaggedValue<EngineLoad> load;
  private final OrderRegistry orders;
  private final EngineLoop loop;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "engine-timer");
            thread.setDaemon(true);
            return thread;
          });
  private final StandInServer server;
  private volatile boolean draining;

  private EngineStandIn(EngineOptions options) {
    MonotonicClock clock = MonotonicClock.SYSTEM;
    this.options = options;
    cacheEvents = new CacheEventLog(options, clock);
    load =
        new LaggedValue<>(new EngineLoad(0, 0, 0, Instant.now()), options.reportLagMillis(), clock);
    orders = new OrderRegistry(options.checkFencing());
    loop =
        new EngineLoop(
            options, history, cacheEvents, load, () -> crash(options.crashMillis()), clock);
    EngineControl control = new EngineControl(this);
    server = StandInServer.start(options.port(), exchange -> route(exchange, control));
  }

  /** Starts a fast engine on any free port. */
  public static EngineStandIn start() {
    return start(EngineOptions.DEFAULTS);
  }

  /** Starts an engine. */
  public static EngineStandIn start(EngineOptions options) {
    return new EngineStandIn(options);
  }

  /** Returns the address, {@code http://127.0.0.1:PORT}. */
  public URI address() {
    return server.address();
  }

  /** Sets the factor by which prefill and tokens take longer, 1 for full speed. */
  public void setSlowdown(double factor) {
    loop.setSlowdown(factor);
  }

  /**
   * Starts or ends draining. A draining engine answers new requests with status 503 and {@code
   * X-Draining: true}.
   */
  public void setDraining(boolean value) {
    draining = value;
  }

  /**
   * Simulates a crash that loses all runs and connections. If {@link EngineOptions#haltOnCrash} is
   * set, the process halts; otherwise the engine refuses connections for a time and then starts
   * again with no runs and an empty cache.
   *
   * @param millis milliseconds for which connections are refused, unless the process halts
   */
  public void crash(long millis) {
    history.addCrash();
    if (options.haltOnCrash()) {
      LOGGER.log(
          System.Logger.Level.ERROR,
          "engine {0} halts its process to simulate a crash",
          options.name());
      Runtime.getRuntime().halt(CRASH_EXIT_STATUS);
    }
    loop.discardAll();
    server.refuseConnections();
    timer.schedule(server::acceptConnections, millis, TimeUnit.MILLISECONDS);
  }

  /** Crashes after a short delay, so that the control call itself is answered. */
  void crashAfterAnswer(long millis) {
    timer.schedule(() -> crash(millis), CRASH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the events from an index on, in order, as far as they are still held. */
  public List<EngineEvent> history(long fromIndex) {
    return history.from(fromIndex);
  }

  /** Returns the accepted orders, as in {@code GET /orders}. */
  public ObjectNode orders() {
    return orders.toJson();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
    loop.close();
  }

  private void route(HttpServerExchange exchange, EngineControl control) {
    String path = exchange.getRequestPath();
    if (path.startsWith("/control/")) {
      control.handle(exchange);
      return;
    }
    Answers.receiveObject(
        exchange,
        body -> {
          String call = exchange.getRequestMethod() + " " + path;
          switch (call) {
            case "POST /v1/completions" -> generate(exchange, false, body);
            case "POST /v1/chat/completions" -> generate(exchange, true, body);
            case "POST /v1/resume" -> resume(exchange, body);
            case "GET /v1/models" -> Answers.send(exchange, 200, models());
            case "GET /load" -> Answers.send(exchange, 200, loadReport());
            case "GET /cache-events" ->
                Answers.send(
                    exchange,
                    200,
                    cacheEvents.since(ControlFields.queryNumber(exchange, "since", 0)));
            case "POST /orders" -> acceptOrder(exchange, body);
            case "GET /orders" -> Answers.send(exchange, 200, orders.toJson());
            default -> Answers.sendError(exchange, 404, "unknown call " + call);
          }
        });
  }

  private void generate(HttpServerExchange exchange, boolean chat, ObjectNode body) {
    GenerationRequest request = GenerationRequest.parse(exchange, chat, body);
    exchange.getResponseHeaders().put(new HttpString("X-Request-Id"), request.requestId());
    if (draining) {
      history.add(EngineEvent.Type.REJECT, request);
      refuseWhileDraining(exchange);
      return;
    }
    if (request.prompt().contains(GenerationRequest.FAIL_MARK)) {
      history.add(EngineEvent.Type.REJECT, request);
      Answers.sendError(exchange, 422, "the prompt can't be processed");
      return;
    }
    Run run = Run.of(request, output(request, exchange), MonotonicClock.SYSTEM.nanos());
    ConnectionCloseDetector.start(exchange, () -> loop.cancel(run));
    loop.submit(run);
  }

  private void resume(HttpServerExchange exchange, ObjectNode body) {
    if (draining) {
      refuseWhileDraining(exchange);
      return;
    }
    loop.resume(
        ControlFields.requiredText(body, "request_id"),
        (int) ControlFields.wholeNumber(body, "offset", 0),
        request -> output(request, exchange),
        (status, reason) -> Answers.sendError(exchange, status, reason),
        run ->
            exchange
                .getIoThread()
                .execute(() -> ConnectionCloseDetector.start(exchange, () -> loop.cancel(run))));
  }

  private RunOutput output(GenerationRequest request, HttpServerExchange exchange) {
    return request.streamed()
        ? new StreamedOutput(request, options.model(), exchange)
        : new CollectedOutput(request, options.model(), exchange);
  }

  private static void refuseWhileDraining(HttpServerExchange exchange) {
    exchange.getResponseHeaders().put(new HttpString("X-Draining"), "true");
    Answers.sendError(exchange, 503, "the engine is draining");
  }

  private void acceptOrder(HttpServerExchange exchange, ObjectNode body) {
    if (!body.path("fencing_number").isNumber()) {
      throw new IllegalArgumentException("fencing_number is missing");
    }
    boolean accepted = orders.accept(body.get("fencing_number").asLong(), body);
    ObjectNode answer = Answers.MAPPER.createObjectNode();
    answer.put("accepted", accepted).put("highest_fencing_number", orders.highestFencingNumber());
    Answers.send(exchange, accepted ? 200 : 409, answer);
  }

  private ObjectNode models() {
    ObjectNode root = Answers.MAPPER.createObjectNode().put("object", "list");
    ObjectNode model = root.putArray("data").addObject();
    model.put("id", options.model()).put("object", "model").put("created", 0);
    model.put("owned_by", "sedgeroad");
    return root;
  }

  private ObjectNode loadReport() {
    EngineLoad shown = load.visible();
    return Answers.MAPPER
        .createObjectNode()
        .put("name", options.name())
        .put("slots", options.slots())
        .put("running", shown.running())
        .put("waiting", shown.waiting())
        .put("cache_tokens", shown.cacheTokens())
        .put("draining", draining)
        .put("time_millis", shown.time().toEpochMilli());
  }
}
