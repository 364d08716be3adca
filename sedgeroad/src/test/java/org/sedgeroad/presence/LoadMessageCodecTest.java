package org.sedgeroad.presence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
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
    void rejectsMalformedReports() throws IOException {
      byte[] bytes = LoadMessageCodec.encode(REPORT);
      for (int length = 0; length < bytes.length; length++) {
        int cut = length;
        assertThrows(IOException.class, () -> LoadMessageCodec.decode(bytes, cut));
      }
      assertThrows(IOException.class, () -> LoadMessageCodec.decode(new byte[] {1, 2, 3, 4}, 4));
    }
  }
}
