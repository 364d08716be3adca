package org.sedgeroad.metric;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an unbounded number of time series and against durations of refused requests. */
class MetricsTest {
  private final Metrics metrics = new Metrics();

  @Nested
  class RequestEnded {
    @Test
    void boundsTheNumberOfMembers() {
      IntStream.range(0, 2_000)
          .mapToObj(number -> CompletedRequest.refused("m" + number, RequestOutcome.LIMIT))
          .forEach(metrics::requestEnded);
      long series =
          metrics.toText().lines().filter(l -> l.startsWith("sedgeroad_requests_total{")).count();
      assertTrue(series <= 101, series + " series");
      assertTrue(metrics.toText().contains("member=\"other\",outcome=\"limit\"} 1900"));
    }

    @Test
    void excludesRefusalsFromDurations() {
      metrics.requestEnded(CompletedRequest.refused("m", RequestOutcome.REFUSED));
      assertFalse(metrics.toText().contains("seconds_count"));
      metrics.requestEnded(new CompletedRequest("m", RequestOutcome.DONE, 20_000_000, 30_000_000));
      assertTrue(metrics.toText().contains("{class=\"live\",le=\"0.025\"} 1"), metrics.toText());
    }
  }
}
