package org.sedgeroad.testing.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.EntryProcess;

/** Guards against requests that fail because an instance is stopped as planned (invariant P8). */
class GracefulStopTest {
  private static final int CALLERS = 8;

  @Test
  void rollingRestartCutsNoRequest() throws Exception {
    try (Deployment deployment = Deployment.start(DeploymentPlan.demo())) {
      AtomicBoolean stopped = new AtomicBoolean();
      ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
      try {
        List<Future<List<ApiAnswer>>> calls = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
          calls.add(callers.submit(() -> callUntil(deployment, stopped)));
        }
        for (EntryProcess entry : deployment.entries()) {
          Thread.sleep(1_000);
          entry.process().requestStop();
          assertTrue(entry.process().awaitEnd(), "the instance did not end");
          entry.start();
          deployment.awaitReady(entry);
        }
        stopped.set(true);
        int served = 0;
        for (Future<List<ApiAnswer>> call : calls) {
          for (ApiAnswer answer : call.get()) {
            assertEquals(200, answer.status(), answer.body());
            assertTrue(answer.body().contains("[DONE]"), answer.body());
            served++;
          }
        }
        assertTrue(served > CALLERS, "too few requests to show anything");
      } finally {
        stopped.set(true);
        callers.shutdownNow();
      }
    }
  }

  /** Sends requests only to ready instances, as a load balancer would. */
  private static List<ApiAnswer> callUntil(Deployment deployment, AtomicBoolean stopped) {
    List<ApiAnswer> answers = new ArrayList<>();
    while (!stopped.get()) {
      for (EntryProcess entry : deployment.entries()) {
        if (deployment.read(entry.callerAddress().resolve("/readyz")).startsWith("ready")) {
          ApiClient client = deployment.client(entry);
          answers.add(client.complete(deployment.plan().model(), "a question", 40, true));
        }
      }
    }
    return answers;
  }
}
