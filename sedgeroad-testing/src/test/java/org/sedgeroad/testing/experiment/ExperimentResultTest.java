package org.sedgeroad.testing.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ExperimentResultTest {
  @Nested
  class ToJsonLine {
    /** Guards against a format other than that of section 13 of the design page. */
    @Test
    void hasTheFormatOfTheDesignPage() {
      ExperimentResult result =
          new ExperimentResult(
              "limits",
              3,
              List.of(Figure.atMost("a", 1.23456, 2), Figure.atMost("b", null, 0)),
              Map.of("round-robin", Map.of("a", 2540.4)),
              List.of(),
              List.of());
      assertEquals(
          "{\"experiment\":\"limits\",\"seed\":3,\"figures\":["
              + "{\"name\":\"a\",\"value\":1.235,\"target\":2.0,\"met\":true},"
              + "{\"name\":\"b\",\"value\":null,\"target\":0.0,\"met\":false}],"
              + "\"baselines\":{\"round-robin\":{\"a\":2540.0}}}",
          result.toJsonLine());
    }
  }

  @Nested
  class Met {
    /** Guards against targets that count as met although the value is missing or out of bounds. */
    @Test
    void needsAValueWithinTheTarget() {
      assertTrue(Figure.atMost("a", 1.0, 1).met());
      assertFalse(Figure.atMost("a", 1.01, 1).met());
      assertTrue(Figure.atLeast("a", 0.85, 0.85).met());
      assertFalse(Figure.atLeast("a", 0.84, 0.85).met());
      assertFalse(Figure.atMost("a", Double.NaN, 1).met());
    }
  }
}
