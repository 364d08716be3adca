package org.sedgeroad.testing.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadResultTest {
  private static LiveRecord record(Outcome outcome, long firstMillis) {
    return new LiveRecord(
        new PlannedRequest(0, "p", 1, false, 0),
        URI.create("http://127.0.0.1:1"),
        outcome,
        200,
        "",
        "r",
        0,
        firstMillis * 1_000_000,
        0,
        "");
  }

  private static LoadResult result(List<LiveRecord> records) {
    // Callers give up after 6 s.
    return new LoadResult(0, 1, records, LoadResult.histogram(), 6_000_000_000L);
  }

  @Nested
  class FirstTokens {
    @Test
    void percentilesAreThoseOfTheRecords() {
      List<LiveRecord> records = new ArrayList<>();
      for (int millis = 1; millis <= 100; millis++) {
        records.add(record(Outcome.WHOLE, millis));
      }
      assertEquals(50, result(records).firstTokenMillis(50), 0.1);
      assertEquals(99, result(records).firstTokenMillis(99), 0.1);
    }

    /** Guards against a failed request that improves a percentile. */
    @Test
    void failureCountsAsTheLongestWait() {
      LoadResult result = result(List.of(record(Outcome.CUT, 1), record(Outcome.WHOLE, 5)));
      assertEquals(6_000, result.firstTokenMillis(99), 6);
      assertEquals(1, result.failures());
    }
  }
}
