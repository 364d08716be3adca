package org.sedgeroad.testing.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.engine.AnswerText;

/**
 * Guards against answers that are truncated, mixed up or partly repeated when an endpoint fails
 * (invariant P4).
 */
class WholeAnswerTest {
  private static final int TOKENS = 150;

  private Deployment deployment;

  @BeforeEach
  void start() {
    deployment = Deployment.start(DeploymentPlan.demo());
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  private static String text(ApiAnswer answer) {
    StringBuilder text = new StringBuilder();
    answer
        .body()
        .lines()
        .filter(line -> line.startsWith("data: {"))
        .map(line -> Histories.parse(line.substring("data: ".length())))
        .forEach(event -> text.append(event.path("choices").path(0).path("text").asText("")));
    return text.toString();
  }

  private static boolean isWhole(ApiAnswer answer) {
    return answer.body().stripTrailing().endsWith("data: [DONE]");
  }

  private List<ApiAnswer> serveWhileAnEngineCrashes(int count, double temperature)
      throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(count);
    try {
      List<Future<ApiAnswer>> calls = new ArrayList<>();
      for (int call = 0; call < count; call++) {
        ObjectNode body =
            ApiClient.completion(deployment.plan().model(), "question " + call, TOKENS, true);
        body.put("temperature", temperature);
        ApiClient client = deployment.client(call % 2);
        calls.add(callers.submit(() -> client.post("/v1/completions", body, Map.of())));
      }
      // The answers take 1.5 s; the engine is killed while it is streaming some of them.
      EndpointProcess crashing = deployment.engines().get(0);
      long start = System.nanoTime();
      Awaitility.await()
          .atMost(Duration.ofSeconds(20))
          .until(() -> Histories.runsInFlight(deployment, crashing) > 0);
      System.out.printf(
          "an answer was in progress after %d ms%n", (System.nanoTime() - start) / 1_000_000L);
      crashing.process().kill();
      List<ApiAnswer> answers = new ArrayList<>();
      for (Future<ApiAnswer> call : calls) {
        answers.add(call.get());
      }
      return answers;
    } finally {
      callers.shutdownNow();
    }
  }

  @Test
  void deterministicAnswersAreWholeAndMatchTheirRequests() throws Exception {
    List<ApiAnswer> answers = serveWhileAnEngineCrashes(16, 0);
    for (int call = 0; call < answers.size(); call++) {
      ApiAnswer answer = answers.get(call);
      assertTrue(isWhole(answer), answer.body());
      assertEquals(AnswerText.of("question " + call, TOKENS), text(answer));
    }
  }

  @Test
  void otherAnswersAreWholeOrEndWithAnError() throws Exception {
    List<ApiAnswer> answers = serveWhileAnEngineCrashes(16, 1);
    int broken = 0;
    for (int call = 0; call < answers.size(); call++) {
      ApiAnswer answer = answers.get(call);
      if (isWhole(answer)) {
        assertEquals(AnswerText.of("question " + call, TOKENS), text(answer));
      } else {
        broken++;
        assertTrue(answer.body().contains("\"error\""), answer.body());
        assertTrue(answer.body().contains("\"work\":\"unknown\""), answer.body());
      }
    }
    assertFalse(broken == 0, "no answer was in progress at the engine that was killed");
  }
}
