package org.sedgeroad.presence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against report fields that are lost or changed by encoding, and against malformed
 * datagrams that stop the receiving thread.
 */
class LoadMessageCodecTest {
  private static final LoadReport REPORT =
      new LoadReport(
          "a",
          7,
          8,
          9,
          10,
          2,
          Map.of("engine", 3),
          Map.of("route", 5_000_000_000L),
          Map.of("e1", new Occupancy(4, 5)),
          Map.of("e2", 6),
          true);

  @Nested
  class Encoding {
    @Test
    void keepsAllFields() throws IOException {
      byte[] bytes = LoadMessageCodec.encode(REPORT);
      assertEquals(REPORT, LoadMessageCodec.decode(bytes, bytes.length));
    }

    @Test
    void keepsTheDetails() throws IOException {
      LoadReport report =
          REPORT.withDetails(
              new FleetDetails(
                  new Confirmation(11, 12),
                  13,
                  1,
                  Map.of("chess", new WorkspaceLoad(14, 15, 16, 17)),
                  Map.of("e1/1", new SpeedSample(18, 19))));
      byte[] bytes = LoadMessageCodec.encode(report);
      assertEquals(report, LoadMessageCodec.decode(bytes, bytes.length));
    }

    @Test
    void rejectsMalformedReports() throws IOException {
      byte[] bytes = LoadMessageCodec.encode(REPORT);
      for (int length = 0; length < bytes.length; length++) {
        int cut = length;
        assertThrows(IOException.class, () -> LoadMessageCodec.decode(bytes, cut));
      }
      assertThrows(IOException.class, () -> LoadMessageCodec.decode(new byte[] {1, 2, 3, 4}, 4));
    }
  }

  /** Guards against summaries that exceed a datagram, or that cost more than they tell. */
  @Nested
  class Compression {
    private LoadSummary summary(LoadSummary.Scope scope, int endpoints) {
      Map<String, EndpointTotal> totals = new HashMap<>();
      for (int number = 0; number < endpoints; number++) {
        totals.put("endpoint-" + number, new EndpointTotal(number % 8, 1, "instance-" + number));
      }
      LoadTotals sums =
          new LoadTotals(1, 2, 3, 4, Map.of(), Map.of(), totals, Map.of(), FleetDetails.NONE);
      return new LoadSummary(scope, "hub", "domain", 5, 6, sums, Map.of());
    }

    @Test
    void halvesSummariesForOtherDomains() throws IOException {
      LoadSummary summary = summary(LoadSummary.Scope.DOMAIN, 100);
      byte[] bytes = LoadMessageCodec.encode(summary);
      assertEquals(summary, LoadMessageCodec.decode(bytes, bytes.length));
      byte[] plain = LoadMessageCodec.encode(summary(LoadSummary.Scope.FLEET, 100));
      assertTrue(bytes.length * 2 < plain.length);
    }

    @Test
    void keepsTheSummaryOfThreeThousandEndpointsInOneDatagram() throws IOException {
      LoadSummary summary = summary(LoadSummary.Scope.FLEET, 3_200);
      byte[] bytes = LoadMessageCodec.encode(summary);
      assertTrue(bytes.length < 65_000);
      assertEquals(summary, LoadMessageCodec.decode(bytes, bytes.length));
    }

    @Test
    void rejectsDamagedOrExcessiveContent() throws IOException {
      byte[] bytes = LoadMessageCodec.encode(summary(LoadSummary.Scope.DOMAIN, 10));
      for (int length = 0; length < bytes.length; length++) {
        int cut = length;
        assertThrows(IOException.class, () -> LoadMessageCodec.decode(bytes, cut));
      }
      byte[] excessive =
          MessageCompression.compress(new byte[MessageCompression.MAXIMUM_BYTES + 1]);
      assertThrows(IOException.class, () -> MessageCompression.decompress(excessive));
    }
  }
}
