package org.sedgeroad.testing.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EntryProcess;

/**
 * Guards against a suspended instance that its peers never accept again, or that considers its
 * peers failed when it resumes.
 */
class PausedInstanceTest {
  private static final int LIVE_EVENT = 6010;
  private static final int DEAD_EVENT = 6012;
  private static final int PAUSED_EVENT = 6014;

  private static long countEvents(
      Deployment deployment, EntryProcess entry, int event, String peer) {
    try (var lines = Files.lines(deployment.folder().resolve(entry.name() + ".log"))) {
      return lines
          .filter(line -> line.contains("\"event\":" + event))
          .filter(line -> line.contains("\"peer\":\"" + peer))
          .count();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  @Nested
  class Pause {
    @Test
    void isReportedAsFailureAndReturnByOtherInstancesOnly() throws Exception {
      DeploymentPlan plan =
          DeploymentPlan.demo().withDomains(new DomainPlan("a", "patagonia-norte", 3, 1, 0));
      try (Deployment deployment = Deployment.start(plan)) {
        final EntryProcess first = deployment.entries().get(0);
        final EntryProcess second = deployment.entries().get(1);
        await()
            .atMost(Duration.ofSeconds(10))
            .until(() -> countEvents(deployment, first, LIVE_EVENT, second.name()) == 1);
        second.process().pause();
        await()
            .atMost(Duration.ofSeconds(7))
            .until(() -> countEvents(deployment, first, DEAD_EVENT, second.name()) == 1);
        second.process().resume();
        await()
            .atMost(Duration.ofSeconds(3))
            .until(() -> countEvents(deployment, first, LIVE_EVENT, second.name()) == 2);
        deployment.awaitReady(second);
        assertEquals(1, countEvents(deployment, second, PAUSED_EVENT, second.name()));
        assertEquals(0, countEvents(deployment, second, DEAD_EVENT, ""));
      }
    }
  }
}
