package org.sedgeroad.testing.failure;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.Endpoint;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.proxy.FaultProxy;

/**
 * Guards against a non-idempotent request that is executed twice, or that was executed although the
 * answer said {@code not-run} (invariants P6 and P5).
 */
class AtMostOnceTest {
  private static Deployment deployment;

  @BeforeAll
  static void start() {
    deployment = Deployment.start(DeploymentPlan.demo());
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  private static ApiAnswer placeOrder(int entry, String text, String key) {
    ApiClient client = deployment.client(entry);
    return client.send(
        "POST",
        "/" + deployment.plan().service() + "/orders",
        text.getBytes(StandardCharsets.UTF_8),
        key.isEmpty() ? Map.of() : Map.of("Idempotency-Key", key));
  }

  private static long executionsSince(int earlierCount) {
    return executionCount() - earlierCount;
  }

  private static int executionCount() {
    // Health probes of a failed endpoint read another path and are not counted.
    return (int)
        Histories.executions(deployment).stream()
            .filter(execution -> execution.path("path").asText().endsWith("/orders"))
            .count();
  }

  @Nested
  class Keys {
    @Test
    void racingRequestsWithOneKeyRunOnce() throws Exception {
      int before = executionCount();
      ExecutorService callers = Executors.newFixedThreadPool(8);
      try {
        List<Future<ApiAnswer>> answers = new ArrayList<>();
        for (int call = 0; call < 16; call++) {
          int entry = call % 2;
          answers.add(callers.submit(() -> placeOrder(entry, "one totem", "key-race")));
        }
        int served = 0;
        for (Future<ApiAnswer> answer : answers) {
          if (answer.get().status() == 200) {
            served++;
          } else {
            assertEquals(409, answer.get().status(), answer.get().body());
            assertEquals("unknown", answer.get().work());
          }
        }
        assertEquals(1, served);
      } finally {
        callers.shutdownNow();
      }
      assertEquals(1, executionsSince(before));
    }

    @Test
    void withoutAStoreTheRequestIsRefusedAndDoesNotRun() {
      int before = executionCount();
      deployment.control(
          deployment.store(), "/control/outage", "{\"mode\":\"unavailable\",\"for_millis\":1500}");
      ApiAnswer answer = placeOrder(0, "another totem", "key-outage");
      assertEquals("not-run", answer.work(), answer.body());
      assertEquals(0, executionsSince(before));
      // The outage ends by itself after 1.5 s; the other tests need the store.
      await()
          .atMost(Duration.ofSeconds(20))
          .until(() -> placeOrder(0, "another totem", "key-after").work().isEmpty());
      assertEquals(1, executionsSince(before));
    }

    @Test
    void aClaimWhoseAnswerIsLostRunsOnce() {
      int before = executionCount();
      deployment.control(
          deployment.store(), "/control/lose-answers", "{\"next\":1,\"kind\":\"claims\"}");
      ApiAnswer answer = placeOrder(0, "a third totem", "key-lost");
      assertEquals(200, answer.status(), answer.body());
      assertEquals(409, placeOrder(1, "a third totem", "key-lost").status());
      assertEquals(1, executionsSince(before));
    }
  }

  @Nested
  class LostAnswers {
    @Test
    void aLostAnswerIsUnknownAndNotRetried() throws InterruptedException {
      EndpointProcess service = deployment.serviceEndpoints().get(0);
      EndpointProcess other = deployment.serviceEndpoints().get(1);
      try (FaultProxy proxy = FaultProxy.start(service.address())) {
        replaceAddress(service, proxy.address());
        setState(other, org.sedgeroad.EndpointState.LEAVING);
        // The instances read the instance list every 500 ms.
        Thread.sleep(1_500);
        int before = executionCount();
        proxy.dropAnswers(1);
        ApiAnswer answer = placeOrder(0, "a fourth totem", "");
        assertEquals(502, answer.status(), answer.body());
        assertEquals("unknown", answer.work());
        assertEquals(1, executionsSince(before));
        proxy.setDisconnected(true);
        ApiAnswer refused = placeOrder(1, "a fifth totem", "");
        assertEquals("not-run", refused.work(), refused.body());
        assertTrue(executionsSince(before) <= 1, "a refused request ran");
      } finally {
        replaceAddress(service, service.address());
        setState(other, org.sedgeroad.EndpointState.LIVE);
      }
    }

    private void replaceAddress(EndpointProcess service, java.net.URI address) {
      Endpoint endpoint = service.endpoint();
      deployment.updateEndpoint(
          new Endpoint(
              endpoint.name(),
              endpoint.service(),
              address,
              endpoint.domain(),
              endpoint.region(),
              endpoint.state()));
    }

    private void setState(EndpointProcess service, org.sedgeroad.EndpointState state) {
      Endpoint endpoint = service.endpoint();
      deployment.updateEndpoint(
          new Endpoint(
              endpoint.name(),
              endpoint.service(),
              endpoint.address(),
              endpoint.domain(),
              endpoint.region(),
              state));
    }
  }
}
