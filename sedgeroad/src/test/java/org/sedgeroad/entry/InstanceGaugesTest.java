package org.sedgeroad.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.job.ItemCounts;
import org.sedgeroad.job.ItemResult;
import org.sedgeroad.job.ItemState;
import org.sedgeroad.job.Job;
import org.sedgeroad.job.JobState;
import org.sedgeroad.metric.CompletedRequest;
import org.sedgeroad.metric.Metrics;
import org.sedgeroad.metric.MetricsPages;
import org.sedgeroad.metric.RequestOutcome;
import org.sedgeroad.route.EndpointTable;

/** Guards against metrics that are documented but not exported, or exported but not documented. */
class InstanceGaugesTest {
  private static final Job JOB =
      new Job(
          "batch_1",
          "m",
          "file-1",
          "/v1/completions",
          "24h",
          Instant.EPOCH,
          Instant.EPOCH,
          1,
          1,
          JobState.ACCEPTED,
          null,
          "0",
          ItemCounts.ZERO,
          MissingNode.getInstance());

  private static String scrape() {
    Metrics metrics = new Metrics();
    EndpointTable endpoints = EndpointTable.of("r", MonotonicClock.SYSTEM);
    endpoints.replace(
        List.of(
            new Endpoint(
                "e", "s", URI.create("http://127.0.0.1:1"), "d", "r", EndpointState.LIVE)));
    InstanceGauges.register(
        metrics, new ConfigurationReplica(), endpoints, () -> true, () -> true, () -> 1, () -> 0);
    metrics.requestEnded(new CompletedRequest("m", RequestOutcome.DONE, 1, 1));
    metrics.committed(JOB, List.of(new ItemResult(0, "c", ItemState.DONE, "r", 200, null, null)));
    metrics
        .measure(MetricsPages.emptyStore())
        .create("k", "n", JsonNodeFactory.instance.objectNode());
    return metrics.toText();
  }

  @Nested
  class MetricsPage {
    @Test
    void listsExactlyTheMetricsOfAnInstance() throws IOException {
      String page = Files.readString(Path.of("../docs/METRICS.md"));
      assertEquals(MetricsPages.exportedNames(scrape()), MetricsPages.documentedNames(page));
    }

    @Test
    void listsEveryOutcome() throws IOException {
      String page = Files.readString(Path.of("../docs/METRICS.md"));
      Set<String> outcomes = new TreeSet<>();
      for (RequestOutcome outcome : RequestOutcome.values()) {
        outcomes.add(outcome.toText());
      }
      String table = page.substring(page.indexOf("Outcomes of"));
      assertEquals(outcomes, MetricsPages.firstGroups(table, "^\\| `([a-z_]+)` \\|"));
    }
  }
}
