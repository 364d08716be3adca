package org.sedgeroad.testing.failure;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;

/** Guards against items of a cancelled job that still start or keep running (invariant P2). */
class CancelTest {
  private static final Duration STOP_BOUND = Duration.ofSeconds(2);

  private static Deployment deployment;

  @BeforeAll
  static void start() {
    deployment = Deployment.start(DeploymentPlan.demo());
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  @Test
  void nothingStartsTwoSecondsAfterTheAnswer() throws InterruptedException {
    ApiClient submitter = deployment.client(0);
    ApiClient canceller = deployment.client(1);
    List<String> prompts = Collections.nCopies(400, "an item that runs for one second");
    JsonNode file = submitter.json(submitter.upload(deployment.plan().model(), prompts, 100));
    JsonNode job = submitter.json(submitter.submit(file.path("id").asText(), Map.of()));
    await()
        .atMost(Duration.ofSeconds(20))
        .until(() -> !Histories.engineEvents(deployment, "first_token").isEmpty());
    String path = "/v1/batches/" + job.path("id").asText() + "/cancel";
    ApiAnswer answer = canceller.send("POST", path, new byte[0], Map.of());
    Instant bound = Instant.now().plus(STOP_BOUND);
    assertEquals(200, answer.status(), answer.body());
    assertEquals("cancelled", canceller.json(answer).path("status").asText());
    // Without the cancellation many more items would start within these four seconds.
    Thread.sleep(Duration.ofSeconds(4).toMillis());
    assertEquals(0, Histories.countAfter(Histories.engineEvents(deployment, "accept"), bound));
    assertTrue(!Histories.engineEvents(deployment, "cancel").isEmpty(), "no stream was cancelled");
    await()
        .atMost(Duration.ofSeconds(20))
        .untilAsserted(
            () -> {
              List<JsonNode> accepted = Histories.engineEvents(deployment, "accept");
              long ended =
                  Histories.engineEvents(deployment, "finish").size()
                      + Histories.engineEvents(deployment, "cancel").size();
              assertEquals(accepted.size(), ended, "streams still run");
            });
  }
}
