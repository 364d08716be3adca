package org.sedgeroad.testing.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;

/** Guards against new work that is sent to a leaving or draining endpoint (invariant P7). */
class EndpointDrainTest {
  private static final long DRAIN_BOUND_MILLIS = 3_000;

  private Deployment deployment;

  @BeforeEach
  void start() {
    deployment = Deployment.start(DeploymentPlan.demo());
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  /** Runs live and batch work until the given time; returns the answers to the live requests. */
  private List<ApiAnswer> runLoadUntil(Instant end) throws Exception {
    ApiClient batch = deployment.client(0);
    List<String> prompts = Collections.nCopies(500, "a commission brief");
    JsonNode file = batch.json(batch.upload(deployment.plan().model(), prompts, 20));
    batch.submit(file.path("id").asText(), Map.of());
    ExecutorService callers = Executors.newFixedThreadPool(4);
    try {
      List<Future<List<ApiAnswer>>> calls = new ArrayList<>();
      for (int caller = 0; caller < 4; caller++) {
        ApiClient client = deployment.client(caller % 2);
        calls.add(
            callers.submit(
                () -> {
                  List<ApiAnswer> answers = new ArrayList<>();
                  while (Instant.now().isBefore(end)) {
                    answers.add(client.complete(deployment.plan().model(), "x", 5, true));
                  }
                  return answers;
                }));
      }
      List<ApiAnswer> answers = new ArrayList<>();
      for (Future<List<ApiAnswer>> call : calls) {
        answers.addAll(call.get());
      }
      return answers;
    } finally {
      callers.shutdownNow();
    }
  }

  private long countAcceptedAfter(EndpointProcess engine, Instant instant) {
    long micros = ChronoUnit.MICROS.between(Instant.EPOCH, instant);
    JsonNode events =
        Histories.parse(deployment.read(engine.address().resolve("/control/history")))
            .path("events");
    long count = 0;
    for (JsonNode event : events) {
      boolean accept = event.path("event").asText().equals("accept");
      if (accept && event.path("time_micros").asLong() > micros) {
        count++;
      }
    }
    return count;
  }

  @Test
  void noNewWorkThreeSecondsAfterTheInstanceListSaysLeaving() throws Exception {
    EndpointProcess leaving = deployment.engines().get(0);
    Endpoint endpoint = leaving.endpoint();
    deployment.updateEndpoint(
        new Endpoint(
            endpoint.name(),
            endpoint.service(),
            endpoint.address(),
            endpoint.domain(),
            endpoint.region(),
            EndpointState.LEAVING));
    Instant bound = Instant.now().plusMillis(DRAIN_BOUND_MILLIS);
    List<ApiAnswer> answers = runLoadUntil(bound.plusMillis(DRAIN_BOUND_MILLIS));
    assertEquals(0, countAcceptedAfter(leaving, bound));
    answers.forEach(answer -> assertEquals(200, answer.status(), answer.body()));
  }

  @Test
  void noNewWorkThreeSecondsAfterTheEndpointRefusesWork() throws Exception {
    EndpointProcess leaving = deployment.engines().get(0);
    deployment.control(leaving.address(), "/control/drain", "{\"draining\":true}");
    Instant bound = Instant.now().plusMillis(DRAIN_BOUND_MILLIS);
    List<ApiAnswer> answers = runLoadUntil(bound.plusMillis(DRAIN_BOUND_MILLIS));
    assertEquals(0, countAcceptedAfter(leaving, bound));
    assertTrue(!answers.isEmpty());
    answers.forEach(answer -> assertEquals(200, answer.status(), answer.body()));
  }
}
