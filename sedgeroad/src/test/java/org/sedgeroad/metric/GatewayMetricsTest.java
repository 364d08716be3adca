package org.sedgeroad.metric;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.Refusal;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;

/** Guards against metrics that operators read about but don't get, and the other way round. */
class GatewayMetricsTest {
  private static String scrape() {
    GatewayMetrics metrics = new GatewayMetrics();
    metrics.placed("r", 1);
    metrics.ended("r", 1);
    metrics.refused("r", Refusal.Reason.NOT_RUN);
    metrics.item("completed");
    ObjectStore store =
        (ObjectStore)
            Proxy.newProxyInstance(
                ObjectStore.class.getClassLoader(),
                new Class<?>[] {ObjectStore.class},
                (proxy, method, arguments) -> new StoreResult.Absent<>());
    metrics.measure(store).create("k", "n", JsonNodeFactory.instance.objectNode());
    return metrics.toText();
  }

  private static Set<String> names(String text, String pattern) {
    Set<String> names = new TreeSet<>();
    Matcher matcher = Pattern.compile(pattern, Pattern.MULTILINE).matcher(text);
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
    return names;
  }

  @Nested
  class GatewayMetricsPage {
    @Test
    void listsExactlyTheMetricsOfAnInstance() throws IOException {
      String page = Files.readString(Path.of("../docs/GATEWAY-METRICS.md"));
      assertEquals(
          names(scrape(), "^# TYPE (\\S+) "), names(page, "^\\| `(sedgeroad_[a-z_]+)` \\|"));
    }
  }
}
