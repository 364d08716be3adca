package org.sedgeroad.metric;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against time series without bound where a deployment has thousands of workspaces. */
class BoundedLabelsTest {
  @Nested
  class BeyondTheBound {
    @Test
    void valuesShareOneLabelAndEarlierOnesKeepTheirs() {
      BoundedLabels labels = new BoundedLabels(2);
      assertEquals("a", labels.of("a"));
      assertEquals("b", labels.of("b"));
      assertEquals(BoundedLabels.OTHERS, labels.of("c"));
      assertEquals("a", labels.of("a"));
    }
  }
}
