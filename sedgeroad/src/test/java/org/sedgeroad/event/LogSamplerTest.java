package org.sedgeroad.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.VirtualClock;

/** Guards against logs that grow with the load and against requests with only some lines logged. */
class LogSamplerTest {
  private final VirtualClock clock = new VirtualClock();
  private final LogSampler sampler = new LogSampler(clock);
  private int nextRequest;

  /**
   * Samples three lines of each of a number of requests within one second; returns the number of
   * logged lines by request id.
   */
  private Map<String, Integer> logOneSecond(int requests) {
    Map<String, Integer> linesByRequest = new HashMap<>();
    int first = nextRequest;
    nextRequest += requests;
    for (int line = 0; line < 3; line++) {
      for (int number = first; number < nextRequest; number++) {
        String id = "request-" + number;
        linesByRequest.merge(id, sampler.sample(id) ? 1 : 0, Integer::sum);
      }
    }
    clock.advanceMillis(1_001);
    return linesByRequest;
  }

  private static int sum(Map<String, Integer> linesByRequest) {
    return linesByRequest.values().stream().mapToInt(Integer::intValue).sum();
  }

  @Nested
  class UsualRate {
    @Test
    void logsEachLine() {
      for (int count = 0; count < 10; count++) {
        assertEquals(3 * 60, sum(logOneSecond(60)));
        assertEquals(Optional.empty(), sampler.endWindow());
      }
    }
  }

  @Nested
  class HighRate {
    @Test
    void limitsLinesFromTheFirstSecond() {
      assertTrue(sum(logOneSecond(100_000)) <= 2 * LogSampler.LINES_PER_SECOND);
    }

    @Test
    void logsAllLinesOfASampledRequest() {
      logOneSecond(5_000);
      sampler.endWindow();
      Map<String, Integer> linesByRequest = logOneSecond(5_000);
      assertTrue(sum(linesByRequest) > 0 && sum(linesByRequest) <= 2 * LogSampler.LINES_PER_SECOND);
      assertTrue(linesByRequest.values().stream().allMatch(lines -> lines == 0 || lines == 3));
    }

    @Test
    void countsOmittedLines() {
      int loggedLines = sum(logOneSecond(5_000));
      LogSampler.OmittedLines omitted = sampler.endWindow().orElseThrow();
      assertEquals(15_000 - loggedLines, omitted.lines());
    }

    @Test
    void restoresTheSamplingRateStepByStep() {
      logOneSecond(5_000);
      sampler.endWindow();
      int seconds = 0;
      while (sum(logOneSecond(10)) < 30 && seconds < 20) {
        sampler.endWindow();
        seconds++;
      }
      assertTrue(seconds > 1 && seconds < 20, seconds + " s");
    }
  }
}
