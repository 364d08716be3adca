package org.sedgeroad.burn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.job.ItemCounts;
import org.sedgeroad.job.ItemResult;
import org.sedgeroad.job.ItemState;
import org.sedgeroad.job.Job;
import org.sedgeroad.job.JobState;
import org.sedgeroad.metric.CompletedRequest;
import org.sedgeroad.metric.RequestOutcome;

/**
 * Guards against bad requests and items that are counted under the wrong cause, and against counts
 * that are dropped too late or too early.
 */
class BurnRecordsTest {
  private static final Instant NOON = Instant.parse("2026-12-04T12:00:00Z");
  private static final long FAST_NANOS = 100_000_000;
  // Above 520 ms, the longest time to the first event of a good stream.
  private static final long SLOW_NANOS = 600_000_000;

  // Negative, as the monotonic time of a system may be.
  private long nanos = -5;
  private final BurnRecords records =
      new BurnRecords("entry-1", () -> nanos, Clock.fixed(NOON, ZoneOffset.UTC));

  private void addLiveRequest(String member, RequestOutcome outcome, long firstNanos) {
    records.requestEnded(new CompletedRequest(member, outcome, firstNanos, firstNanos));
  }

  private BurnLine line(ServiceClass serviceClass, BurnWindow window) {
    return records.report().lines().stream()
        .filter(line -> line.serviceClass() == serviceClass && line.window() == window)
        .findFirst()
        .orElseThrow();
  }

  private static Job job(Instant deadline) {
    return new Job(
        "batch_1",
        "m",
        "f",
        "/v1/completions",
        "1h",
        NOON,
        deadline,
        1,
        3,
        JobState.ACCEPTED,
        null,
        "0",
        ItemCounts.ZERO,
        MissingNode.getInstance());
  }

  private static ItemResult item(ItemState state) {
    return new ItemResult(0, "c", state, "r", 200, null, null);
  }

  @Nested
  class Live {
    @Test
    void countsBadRequestsByCause() {
      addLiveRequest("m", RequestOutcome.DONE, FAST_NANOS);
      addLiveRequest("m", RequestOutcome.DONE, SLOW_NANOS);
      addLiveRequest("m", RequestOutcome.FAILED, FAST_NANOS);
      addLiveRequest("m", RequestOutcome.LIMIT, -1);
      addLiveRequest("m", RequestOutcome.QUEUE, -1);
      addLiveRequest("m", RequestOutcome.REFUSED, -1);
      addLiveRequest("m", RequestOutcome.CALLER_GONE, -1);
      addLiveRequest("", RequestOutcome.QUEUE, -1);
      BurnLine line = line(ServiceClass.LIVE, BurnWindow.THREE_DAYS);
      assertEquals(6, line.total());
      assertEquals("{QUEUE=1, ENDPOINT=2, REFUSAL=1, LIMIT=1}", line.bad().toString());
      assertEquals(Cause.ENDPOINT, line.mainCause().orElseThrow());
    }

    @Test
    void burnRateIsOneWhenTheBudgetIsSpentExactly() {
      // The objective allows 5 % of the live requests to be bad.
      for (int request = 0; request < 100; request++) {
        addLiveRequest("m", RequestOutcome.DONE, request < 5 ? SLOW_NANOS : FAST_NANOS);
      }
      assertEquals(1.0, line(ServiceClass.LIVE, BurnWindow.FIVE_MINUTES).burnRate(), 1e-9);
      assertEquals(1.0, line(ServiceClass.LIVE, BurnWindow.ONE_HOUR).budgetSpent(), 1e-9);
    }

    @Test
    void dropsCountsOlderThanEachWindow() {
      addLiveRequest("m", RequestOutcome.FAILED, -1);
      // A window of 5 min has 30 buckets of 10 s. The request is in the bucket that ends at time 0,
      // which is the oldest of the window after 289 s and is dropped after 301 s.
      nanos += Duration.ofSeconds(289).toNanos();
      assertEquals(1, line(ServiceClass.LIVE, BurnWindow.FIVE_MINUTES).total());
      nanos += Duration.ofSeconds(12).toNanos();
      assertEquals(0, line(ServiceClass.LIVE, BurnWindow.FIVE_MINUTES).total());
      assertEquals(1, line(ServiceClass.LIVE, BurnWindow.ONE_HOUR).total());
      nanos += Duration.ofDays(2).toNanos();
      assertEquals(0, line(ServiceClass.LIVE, BurnWindow.SIX_HOURS).total());
      assertEquals(1, line(ServiceClass.LIVE, BurnWindow.THREE_DAYS).total());
      nanos += Duration.ofDays(30).toNanos();
      assertEquals(0, line(ServiceClass.LIVE, BurnWindow.THREE_DAYS).total());
    }

    @Test
    void limitsTheNumberOfRecords() {
      for (int member = 0; member < 5_000; member++) {
        addLiveRequest("m" + member, RequestOutcome.DONE, FAST_NANOS);
      }
      int groups = records.report().lines().size() / BurnWindow.values().length;
      // 4,096 members with a record of their own, and one record for all others.
      assertEquals(4_097, groups);
    }
  }

  @Nested
  class Batch {
    @Test
    void countsLateAndFailedItemsButNotCancelledOnes() {
      List<ItemResult> results =
          List.of(item(ItemState.DONE), item(ItemState.FAILED), item(ItemState.CANCELLED));
      records.committed(job(NOON), results);
      records.committed(job(NOON.minusSeconds(1)), List.of(item(ItemState.DONE)));
      BurnLine line = line(ServiceClass.BATCH, BurnWindow.ONE_HOUR);
      assertEquals(3, line.total());
      assertEquals("{QUEUE=1, ENDPOINT=1, REFUSAL=0, LIMIT=0}", line.bad().toString());
    }
  }

  @Nested
  class Report {
    @Test
    void sumsInstancesAfterAJsonRoundTrip() throws IOException {
      addLiveRequest("m", RequestOutcome.LIMIT, -1);
      addLiveRequest("m", RequestOutcome.DONE, FAST_NANOS);
      BurnReport read =
          BurnReport.fromJson(new ObjectMapper().readTree(records.report().toJson().toString()));
      assertEquals(records.report(), read);
      BurnReport sum = read.plus(read);
      assertEquals(4, sum.lines().get(0).total());
      assertEquals(sum.lines().get(0).burnRate(), read.lines().get(0).burnRate(), 1e-9);
    }

    @Test
    void pageIsSelfContainedAndEscapesNames() {
      addLiveRequest("<b>&\"m", RequestOutcome.FAILED, -1);
      String page = BurnPage.html(records.report());
      assertFalse(page.contains("<b>"));
      assertTrue(page.contains("&lt;b&gt;&amp;&quot;m live: now burning 20.00 times"));
      assertFalse(page.matches("(?s).*(src=|href=|url\\(|@import|http).*"));
    }
  }
}
