package org.sedgeroad.testing.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiAnswer;
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

  private List<ApiAnswer> serveWhileAnEngineCrashes(int count, double temperature) {
    List<StreamedCall> calls = new ArrayList<>();
    // The answers take 1.5 s; the engine is killed while it is streaming some of them.
    EndpointProcess crashing = deployment.engines().get(0);
    long start = System.nanoTime();
    Awaitility.await()
        .atMost(Duration.ofSeconds(20))
        .until(
            () -> {
              // On a busy machine, all calls may have ended before the history is read.
              if (calls.stream().allMatch(StreamedCall::hasEnded)) {
                startCalls(calls, count, temperature);
              }
              return isStreamingToACaller(crashing, calls);
            });
    System.out.printf(
        "an answer was in progress after %d ms%n", (System.nanoTime() - start) / 1_000_000L);
    crashing.process().kill();
    return calls.stream().map(StreamedCall::awaitAnswer).toList();
  }

  private void startCalls(List<StreamedCall> calls, int count, double temperature) {
    int first = calls.size();
    for (int call = first; call < first + count; call++) {
      calls.add(StreamedCall.start(deployment, call % 2, "question " + call, TOKENS, temperature));
    }
  }

  /**
   * Returns whether a caller has received a part of an answer that the engine is still producing. A
   * first token in the engine's history is not enough: it may still be on its way, and a request
   * whose caller has received nothing is sent to another engine without a trace in the answer.
   */
  private boolean isStreamingToACaller(EndpointProcess engine, List<StreamedCall> calls) {
    Set<String> received =
        calls.stream()
            .filter(StreamedCall::hasReceivedText)
            .map(StreamedCall::fingerprint)
            .collect(Collectors.toSet());
    received.retainAll(Histories.promptsInFlight(deployment, engine));
    // With a second run of the same request, the text could come from the other engine.
    deployment.engines().stream()
        .filter(other -> other != engine)
        .forEach(other -> received.removeAll(Histories.promptsBegun(deployment, other)));
    return !received.isEmpty();
  }

  @Test
  void deterministicAnswersAreWholeAndMatchTheirRequests() {
    List<ApiAnswer> answers = serveWhileAnEngineCrashes(16, 0);
    for (int call = 0; call < answers.size(); call++) {
      ApiAnswer answer = answers.get(call);
      assertTrue(isWhole(answer), answer.body());
      assertEquals(AnswerText.of("question " + call, TOKENS), text(answer));
    }
  }

  @Test
  void otherAnswersAreWholeOrEndWithAnError() {
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
