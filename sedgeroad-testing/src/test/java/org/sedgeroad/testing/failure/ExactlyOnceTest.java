package org.sedgeroad.testing.failure;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EntryProcess;

/** Guards against batch items that are lost or get two results after a failure (invariant P1). */
class ExactlyOnceTest {
  private static final int ITEMS = 600;
  private static final long JOB_TIMEOUT_MILLIS = 90_000;

  private Deployment deployment;

  @BeforeEach
  void start() {
    deployment =
        Deployment.start(
            DeploymentPlan.demo()
                .withDomains(
                    new DomainPlan("neuquen-a", "patagonia-norte", 2, 2, 0),
                    new DomainPlan("neuquen-b", "patagonia-norte", 1, 1, 0)));
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  private String submit(int entry, String key) {
    List<String> prompts = new ArrayList<>();
    for (int item = 0; item < ITEMS; item++) {
      prompts.add(item % 100 == 50 ? "FAIL-ALWAYS " + item : "notice " + item);
    }
    ApiClient client = deployment.client(entry);
    ApiAnswer file = client.upload(deployment.plan().model(), prompts, 10);
    assertEquals(200, file.status(), file.body());
    String id = client.json(file).path("id").asText();
    ApiAnswer answer = client.submit(id, Map.of("Idempotency-Key", key));
    assertEquals(200, answer.status(), answer.body());
    return client.json(answer).path("id").asText();
  }

  private void awaitProgress() {
    await()
        .atMost(Duration.ofSeconds(30))
        .until(() -> Histories.engineEvents(deployment, "finish").size() > 40);
  }

  private void assertEachItemEndedOnce(int entry, String job) {
    ApiClient client = deployment.client(entry);
    JsonNode batch = client.awaitBatch(job, JOB_TIMEOUT_MILLIS);
    assertEquals("completed", batch.path("status").asText(), batch.toString());
    assertEquals(ITEMS - 6, batch.path("request_counts").path("completed").asInt());
    assertEquals(6, batch.path("request_counts").path("failed").asInt());
    List<String> ids = Histories.resultIds(client, batch);
    assertEquals(ITEMS, ids.size());
    assertEquals(ITEMS, new HashSet<>(ids).size(), "an item has two results");
  }

  @Nested
  class InstanceFailures {
    @Test
    void aKilledHolderLosesNoItems() {
      String job = submit(0, "killed");
      awaitProgress();
      EntryProcess first = deployment.entries().get(0);
      first.process().kill();
      assertEachItemEndedOnce(2, job);
      first.start();
      deployment.awaitReady(first);
      assertEachItemEndedOnce(0, job);
    }

    @Test
    void anInstanceKilledRightAfterAcceptingTheJobLosesNoItems() {
      String job = submit(1, "acknowledged");
      deployment.entries().get(1).process().kill();
      assertEachItemEndedOnce(2, job);
    }

    @Test
    void aHolderPausedPastItsLeaseChangesNothing() throws InterruptedException {
      String job = submit(0, "paused");
      awaitProgress();
      EntryProcess first = deployment.entries().get(0);
      first.process().pause();
      // The pause must outlast the lease, which is 6 s.
      Thread.sleep(9_000);
      first.process().resume();
      assertEachItemEndedOnce(2, job);
    }
  }

  @Nested
  class StoreFailures {
    @Test
    void lostAnswersChangeNothing() {
      deployment.control(deployment.store(), "/control/lose-answers", "{\"probability\":0.2}");
      String job = submit(0, "lost");
      assertEachItemEndedOnce(1, job);
    }

    @Test
    void anOutageOnlyDelays() {
      String job = submit(0, "outage");
      awaitProgress();
      deployment.control(
          deployment.store(), "/control/outage", "{\"mode\":\"unavailable\",\"for_millis\":9000}");
      assertEachItemEndedOnce(1, job);
    }

    @Test
    void anOutageTogetherWithAKilledHolderOnlyDelays() {
      String job = submit(0, "both");
      awaitProgress();
      deployment.control(
          deployment.store(), "/control/outage", "{\"mode\":\"hang\",\"for_millis\":5000}");
      deployment.entries().get(0).process().kill();
      assertEachItemEndedOnce(1, job);
    }
  }

  @Nested
  class Resubmission {
    @Test
    void aJobResentToAnotherInstanceIsTheSameJob() {
      String job = submit(0, "resent");
      assertEquals(job, submit(1, "resent"));
      assertEachItemEndedOnce(2, job);
    }

    @Test
    void aJobSubmittedWithoutAStoreIsRefusedAsNotRun() {
      ApiClient client = deployment.client(0);
      JsonNode file = client.json(client.upload(deployment.plan().model(), List.of("a", "b"), 2));
      deployment.control(
          deployment.store(), "/control/outage", "{\"mode\":\"unavailable\",\"for_millis\":2000}");
      ApiAnswer answer =
          client.submit(file.path("id").asText(), Map.of("Idempotency-Key", "no-store"));
      assertEquals(503, answer.status());
      assertEquals("not-run", answer.work());
      assertTrue(Histories.engineEvents(deployment, "accept").isEmpty());
    }
  }
}
