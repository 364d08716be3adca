package org.sedgeroad.testing.failure;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.experiment.OperatorClient;

/** Guards against limits that take effect too late, are exceeded or get lost (invariant P9). */
class LimitPropagationTest {
  private static final long LIMIT = 5;

  private Deployment deployment;

  @BeforeEach
  void start() {
    deployment = Deployment.start(DeploymentPlan.demo());
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  private JsonNode setLimit(int entry, long limit, String suffix) {
    EntryProcess instance = deployment.entries().get(entry);
    return OperatorClient.send(
        deployment.httpClient(),
        instance.operatorAddress(),
        OperatorClient.setLimit(deployment.plan().member(), limit) + suffix);
  }

  private void setLimitUntilAccepted(long limit) {
    await()
        .atMost(Duration.ofSeconds(40))
        .until(() -> setLimit(0, limit, "").path("outcome").asText().equals("done"));
  }

  /** Calls both instances in turn for the given time and returns the number of admitted calls. */
  private int countAdmitted(long millis) {
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(millis);
    int admitted = 0;
    int call = 0;
    while (!MonotonicClock.SYSTEM.hasPassed(deadline)) {
      EntryProcess entry = deployment.entries().get(call++ % 2);
      ApiClient client = deployment.client(entry);
      if (client.complete(deployment.plan().model(), "x", 1, false).status() == 200) {
        admitted++;
      }
    }
    assertTrue(call > millis / 1_000 * LIMIT * 3, "too few calls to show anything");
    return admitted;
  }

  @Test
  void holdsInTotalOverAllInstancesAndAfterTheRestartOfAll() {
    setLimitUntilAccepted(LIMIT);
    // The token bucket holds the tokens of one second, which may be used on top of the rate.
    assertTrue(countAdmitted(4_000) <= LIMIT * 5, "the limit was exceeded after it was set");
    deployment.entries().forEach(entry -> entry.process().kill());
    deployment.entries().forEach(EntryProcess::start);
    deployment.entries().forEach(deployment::awaitReady);
    assertTrue(countAdmitted(4_000) <= LIMIT * 5, "the limit was exceeded after the restart");
  }

  @Test
  void concurrentChangesOfOneVersionHaveOneWinner() throws Exception {
    setLimitUntilAccepted(100);
    JsonNode shown =
        OperatorClient.send(
            deployment.httpClient(),
            deployment.entries().get(0).operatorAddress(),
            "SHOW LIMITS OF MEMBER '" + deployment.plan().member() + "'");
    String version = shown.path("rows").path(0).path(3).asText();
    Thread other = new Thread(() -> setLimit(1, 200, " IF VERSION " + version), "other-operator");
    other.start();
    setLimit(0, 300, " IF VERSION " + version);
    other.join();
    JsonNode first = setLimit(0, 300, " IF VERSION " + version);
    JsonNode second = setLimit(1, 200, " IF VERSION " + version);
    // A change that is sent again is confirmed if it is in force, which only one of the two can be.
    int done = 0;
    for (JsonNode result : new JsonNode[] {first, second}) {
      boolean accepted = result.path("outcome").asText().equals("done");
      done += accepted ? 1 : 0;
      assertTrue(accepted || result.path("outcome").asText().equals("refused"), result.toString());
    }
    assertEquals(1, done, first + " " + second);
  }
}
