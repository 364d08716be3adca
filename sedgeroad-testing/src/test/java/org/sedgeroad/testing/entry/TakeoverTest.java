package org.sedgeroad.testing.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.load.BatchLoad;
import org.sedgeroad.testing.load.JobOutput;

/**
 * Guards against batch items that are lost, delayed or completed twice when the instance that holds
 * them is killed.
 */
class TakeoverTest {
  private static final int ITEMS = 600;
  private static final int TAKEOVER_SECONDS = 10;

  private final ObjectMapper mapper = new ObjectMapper();

  /** Returns the names of the unfinished segments that an instance holds. */
  private List<String> unfinishedSegments(Deployment deployment, EntryProcess entry)
      throws IOException {
    List<String> names = new ArrayList<>();
    String list =
        deployment.read(deployment.store().resolve("/apis/sedgeroad.org/v1/segments?limit=500"));
    for (JsonNode object : mapper.readTree(list).path("items")) {
      boolean unfinished = object.path("spec").path("states").asText().indexOf('W') >= 0;
      String holder = object.path("spec").path("holder").asText();
      if (unfinished && holder.startsWith(entry.name() + "#")) {
        names.add(object.path("metadata").path("name").asText());
      }
    }
    return names;
  }

  @Nested
  class Kill {
    @Test
    void leavesEachItemToEndOnceElsewhere() throws Exception {
      DeploymentPlan plan =
          DeploymentPlan.demo()
              .withDomains(new DomainPlan("neuquen-a", "patagonia-norte", 2, 2, 0));
      try (Deployment deployment = Deployment.start(plan)) {
        final String job = new BatchLoad(deployment, "item", 100, 32).submit(ITEMS);
        final List<EntryProcess> holders = new ArrayList<>();
        await()
            .atMost(Duration.ofSeconds(10))
            .until(
                () -> {
                  for (EntryProcess entry : deployment.entries()) {
                    if (!unfinishedSegments(deployment, entry).isEmpty()) {
                      holders.add(entry);
                    }
                  }
                  return !holders.isEmpty();
                });
        EntryProcess victim = holders.get(0);
        victim.process().kill();
        await()
            .atMost(Duration.ofSeconds(TAKEOVER_SECONDS))
            .until(() -> unfinishedSegments(deployment, victim).isEmpty());
        EntryProcess other =
            deployment.entries().get(victim == deployment.entries().get(0) ? 1 : 0);
        ApiClient client = deployment.client(other);
        JobOutput output = JobOutput.await(client, job, 60_000);
        assertEquals("completed", output.status());
        assertEquals(0, output.lostItems(ITEMS));
        assertEquals(0, output.completedTwice());
      }
    }
  }
}
