package org.sedgeroad.metric;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.Refusal;

/** Guards against metrics that are documented but not exported, or exported but not documented. */
class GatewayMetricsTest {
  private static String scrape() {
    GatewayMetrics metrics = new GatewayMetrics();
    metrics.recordPlacement("r", 1);
    metrics.recordEnd("r", 1);
    metrics.recordRefusal("r", Refusal.Reason.NOT_RUN);
    metrics.recordQuarantineRefusal("r", Refusal.Reason.NOT_RUN);
    metrics.recordItemRun("completed");
    metrics.recordWorkspace("w", "sent");
    metrics.recordPrompt(1, 1);
    metrics
        .measure(MetricsPages.emptyStore())
        .create("k", "n", JsonNodeFactory.instance.objectNode());
    return metrics.toText();
  }

  @Nested
  class GatewayMetricsPage {
    @Test
    void listsExactlyTheMetricsOfAnInstance() throws IOException {
      String page = Files.readString(Path.of("../docs/GATEWAY-METRICS.md"));
      assertEquals(MetricsPages.exportedNames(scrape()), MetricsPages.documentedNames(page));
    }
  }
}
