package org.sedgeroad.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.nio.charset.StandardCharsets;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.batch.OwnedJobService;
import org.sedgeroad.batch.ReadResult;
import org.sedgeroad.batch.ResultPageJson;

/** Serves requests of other instances about the jobs that this instance runs. */
final class PeerJobsHandler implements HttpHandler {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final OwnedJobService jobs;
  private final MonotonicClock clock;

  PeerJobsHandler(OwnedJobService jobs, MonotonicClock clock) {
    this.jobs = jobs;
    this.clock = clock;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String job = PeerResponses.parameter(exchange, "job", "");
    // The job service calls back on this event loop, so the response is sent on this thread.
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange, job));
  }

  private void handle(HttpServerExchange exchange, String job) {
    switch (exchange.getRequestPath()) {
      case "/results" -> {
        int after = Integer.parseInt(PeerResponses.parameter(exchange, "after", "0"));
        long wait = Long.parseLong(PeerResponses.parameter(exchange, "wait_millis", "0"));
        jobs.readForPeer(
            job, after, clock.deadlineAfterMillis(wait), result -> send(exchange, result));
      }
      case "/body" ->
          jobs.readBodyForPeer(
              job, PeerResponses.parameter(exchange, "item", ""), result -> send(exchange, result));
      case "/head" ->
          jobs.headForPeer(job)
              .ifPresentOrElse(
                  head ->
                      PeerResponses.send(
                          exchange, OK, head.toString().getBytes(StandardCharsets.UTF_8)),
                  () -> PeerResponses.send(exchange, NOT_FOUND, new byte[0]));
      case "/ended" -> {
        jobs.stopJobEndedByPeer(job);
        send(exchange, new ReadResult.Ended());
      }
      case "/head-changed" -> {
        jobs.readHeadAgain(job);
        send(exchange, new ReadResult.Ended());
      }
      default -> send(exchange, new ReadResult.Absent());
    }
  }

  private static void send(HttpServerExchange exchange, ReadResult result) {
    if (result instanceof ReadResult.Page page) {
      String text = ResultPageJson.encode(page.page()).toString();
      PeerResponses.send(exchange, OK, text.getBytes(StandardCharsets.UTF_8));
    } else if (result instanceof ReadResult.Body body) {
      PeerResponses.send(exchange, OK, body.body());
    } else if (result instanceof ReadResult.Ended) {
      PeerResponses.send(exchange, OK, new byte[0]);
    } else if (result instanceof ReadResult.Absent) {
      PeerResponses.send(exchange, NOT_FOUND, new byte[0]);
    } else {
      PeerResponses.send(exchange, UNAVAILABLE, new byte[0]);
    }
  }
}
