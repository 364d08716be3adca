package org.sedgeroad.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.sedgeroad.WorkState;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.configuration.Model;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.live.LiveFailure;
import org.sedgeroad.metric.CompletedRequest;
import org.sedgeroad.metric.Metrics;
import org.sedgeroad.metric.RequestOutcome;

/**
 * Entry point of the callers' HTTP API: authenticates requests and dispatches them by path.
 * Requests for metrics and health checks need no authentication.
 */
public final class ApiHandler implements HttpHandler {
  private final ApiDependencies dependencies;
  private final Authenticator authenticator;
  private final ConfigurationReplica replica;
  private final LiveHandler liveHandler;
  private final FilesHandler filesHandler;
  private final BatchesHandler batchesHandler;
  private final EventLog log;

  /** Creates a handler for all paths of the API. */
  public ApiHandler(ApiDependencies dependencies) {
    this.dependencies = dependencies;
    this.replica = dependencies.replica();
    this.authenticator = new Authenticator(replica);
    this.liveHandler =
        new LiveHandler(
            replica,
            dependencies.liveService(),
            dependencies.clock(),
            dependencies.requestTimeoutMillis(),
            dependencies.monitoring().requestObserver());
    this.filesHandler = new FilesHandler(dependencies.jobService(), dependencies.log());
    this.batchesHandler =
        new BatchesHandler(dependencies.jobService(), replica, dependencies.log());
    this.log = dependencies.log();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    switch (exchange.getRequestPath()) {
      case "/metrics" -> {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Metrics.CONTENT_TYPE);
        exchange.getResponseSender().send(dependencies.monitoring().metricsText().get());
      }
      case "/healthz" -> exchange.getResponseSender().send("ok\n");
      case "/readyz" -> {
        boolean ready = dependencies.ready().getAsBoolean();
        exchange.setStatusCode(ready ? 200 : 503);
        exchange.getResponseSender().send(ready ? "ready\n" : "not ready\n");
      }
      default -> dispatch(exchange);
    }
  }

  /**
   * Authenticates a request and receives its body on the I/O thread, so that a slow caller does not
   * occupy a worker thread. The body of an upload is read by an upload worker instead.
   */
  private void dispatch(HttpServerExchange exchange) {
    Optional<String> member = authenticator.findMember(exchange);
    if (member.isEmpty()) {
      ApiErrors.send(
          exchange,
          LiveFailure.notRun(401, "invalid_api_key", "the key in Authorization is not known"),
          null);
    } else if (exchange.getRequestPath().equals("/v1/files")) {
      // An upload is stored while it arrives; its body is never held in memory as a whole.
      runInPool(exchange, dependencies.uploadWorkers(), member.get());
    } else if (exchange.getRequestContentLength() > dependencies.maximumBodyBytes()) {
      sendBodyTooLarge(exchange);
    } else {
      exchange.setMaxEntitySize(dependencies.maximumBodyBytes());
      exchange
          .getRequestReceiver()
          .receiveFullBytes(
              (received, body) -> {
                received.putAttachment(RequestBody.KEY, body);
                runInPool(received, dependencies.workers(), member.get());
              },
              (failed, failure) -> handleBodyFailure(failed, failure));
    }
  }

  private void handleBodyFailure(HttpServerExchange exchange, IOException failure) {
    if (failure instanceof RequestTooBigException) {
      sendBodyTooLarge(exchange);
    } else {
      closeQuietly(exchange);
    }
  }

  private void sendBodyTooLarge(HttpServerExchange exchange) {
    exchange.setPersistent(false);
    ApiErrors.send(
        exchange,
        LiveFailure.notRun(
            413,
            "body_too_large",
            "the body is larger than " + dependencies.maximumBodyBytes() + " bytes"),
        null);
  }

  private void runInPool(HttpServerExchange exchange, Executor pool, String member) {
    try {
      exchange.dispatch(pool, dispatched -> serveBlocking(dispatched, member));
    } catch (RejectedExecutionException rejected) {
      if (pool == dependencies.workers()) {
        dependencies
            .monitoring()
            .requestObserver()
            .requestEnded(CompletedRequest.refused(member, RequestOutcome.QUEUE));
      }
      ApiErrors.send(exchange, LiveFailure.notRun(503, "overloaded", "all workers are busy"), null);
    }
  }

  private void serveBlocking(HttpServerExchange exchange, String member) {
    exchange.startBlocking();
    dependencies.activeRequests().incrementAndGet();
    try {
      serveByPath(exchange, member);
    } catch (IOException disconnected) {
      exchange.setPersistent(false);
      closeQuietly(exchange);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      closeQuietly(exchange);
    } catch (RuntimeException failure) {
      reportError(exchange, failure);
    } finally {
      dependencies.activeRequests().decrementAndGet();
    }
  }

  private void reportError(HttpServerExchange exchange, RuntimeException failure) {
    log.log(
        LogEvent.REQUEST_ERROR,
        EventField.of("path", exchange.getRequestPath()),
        EventField.of("cause", failure));
    if (exchange.isResponseStarted()) {
      closeQuietly(exchange);
    } else {
      ApiErrors.send(
          exchange,
          new LiveFailure(
              500, "internal_error", "unexpected error", WorkState.UNKNOWN, Optional.empty()),
          null);
    }
  }

  private void serveByPath(HttpServerExchange exchange, String member)
      throws IOException, InterruptedException {
    String path = exchange.getRequestPath();
    String method = exchange.getRequestMethod().toString();
    switch (method + " " + path) {
      case "POST /v1/completions", "POST /v1/chat/completions" ->
          liveHandler.serveCompletion(exchange, member);
      case "GET /v1/models" -> listModels(exchange);
      case "POST /v1/files" -> filesHandler.upload(exchange, member);
      case "POST /v1/batches" -> batchesHandler.create(exchange, member);
      case "GET /v1/batches" -> batchesHandler.list(exchange, member);
      default -> serveResourceOrService(exchange, member, method, path);
    }
  }

  private void serveResourceOrService(
      HttpServerExchange exchange, String member, String method, String path)
      throws IOException, InterruptedException {
    String[] segments = path.substring(1).split("/");
    boolean hasApiPrefix = segments.length >= 3 && segments[0].equals("v1");
    String resource =
        hasApiPrefix
            ? method + " " + segments[1] + (segments.length > 3 ? " " + segments[3] : "")
            : "";
    switch (resource) {
      case "GET files" -> filesHandler.describe(exchange, member, segments[2]);
      case "GET files content" -> filesHandler.download(exchange, member, segments[2]);
      case "GET batches" -> batchesHandler.describe(exchange, member, segments[2]);
      case "POST batches cancel" -> batchesHandler.cancel(exchange, member, segments[2]);
      default -> {
        Optional<Model> service = Model.findByPath(replica, path);
        if (service.isPresent()) {
          liveHandler.servePlain(exchange, member, service.get());
        } else {
          ApiErrors.sendNotFound(exchange, "no such path: " + method + " " + path);
        }
      }
    }
  }

  private void listModels(HttpServerExchange exchange) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("object", "list");
    ArrayNode data = root.putArray("data");
    replica.list(Kinds.MODELS).stream()
        .map(object -> Model.fromSpec(object.name(), object.spec()))
        .filter(model -> !model.plain())
        .forEach(
            model ->
                data.addObject()
                    .put("id", model.name())
                    .put("object", "model")
                    .put("created", 0)
                    .put("owned_by", model.service()));
    Json.send(exchange, root);
  }

  private static void closeQuietly(HttpServerExchange exchange) {
    org.xnio.IoUtils.safeClose(exchange.getConnection());
  }
}
