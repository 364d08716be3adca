package org.sedgeroad.testing.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;

/** Guards against a job that stalls at a holder whose own engines are all lost. */
class LostDomainTest {
  private static final int ITEMS = 600;
  private static final long JOB_TIMEOUT_MILLIS = 60_000;

  /** A stalled segment is released after 10 s, and found by another instance within 30 s. */
  private static final long TAKEOVER_MILLIS = 40_000;

  @Test
  void leavesItsItemsToTheOtherDomain() {
    DeploymentPlan plan =
        DeploymentPlan.demo()
            .withDomains(
                new DomainPlan("neuquen-a", "patagonia-norte", 2, 4, 0),
                new DomainPlan("neuquen-b", "patagonia-norte", 2, 4, 0));
    try (Deployment deployment = Deployment.start(plan)) {
      List<String> prompts = IntStream.range(0, ITEMS).mapToObj(item -> "brief " + item).toList();
      ApiClient client = deployment.client(0);
      JsonNode file = client.json(client.upload(plan.model(), prompts, 60));
      String job =
          client.json(client.submit(file.path("id").asText(), Map.of())).path("id").asText();
      List<EndpointProcess> lost =
          deployment.engines().stream()
              .filter(engine -> engine.endpoint().domain().equals("neuquen-a"))
              .toList();
      Awaitility.await().until(() -> lost.stream().anyMatch(engine -> isBusy(deployment, engine)));
      lost.forEach(engine -> engine.process().kill());
      JsonNode ended = client.awaitBatch(job, JOB_TIMEOUT_MILLIS + TAKEOVER_MILLIS);
      assertEquals("completed", ended.path("status").asText(), ended.toString());
      assertEquals(ITEMS, ended.path("request_counts").path("completed").asInt());
    }
  }

  private static boolean isBusy(Deployment deployment, EndpointProcess engine) {
    String load = deployment.read(engine.address().resolve("/load"));
    return load.matches("(?s).*\"running\" *: *[1-9].*");
  }
}
