package org.sedgeroad.lease;

import java.util.Map;
import java.util.Set;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against results of concurrent calls that no sequential order of the calls would give. */
@Param(name = "time", gen = IntGen.class, conf = "0:12")
@Param(name = "counter", gen = IntGen.class, conf = "1:2")
public class LeaseTableLincheckTest {
  private final LeaseTable table = LeaseTable.ofMillis(4);

  private static long nanos(int millis) {
    return millis * 1_000_000L;
  }

  @Operation
  public void renewed(@Param(name = "time") int time) {
    table.renewed(nanos(time));
  }

  @Operation
  public boolean isHeld(@Param(name = "time") int time) {
    return table.isHeld(nanos(time));
  }

  @Operation
  public void observe(@Param(name = "counter") int counter, @Param(name = "time") int time) {
    table.observeAll(Map.of("a#1", (long) counter), nanos(time), nanos(time + 1));
  }

  @Operation
  public void observeRemoval(@Param(name = "time") int time) {
    table.observeAll(Map.of(), nanos(time), nanos(time + 1));
  }

  @Operation
  public boolean isExpired(@Param(name = "time") int time) {
    return table.isExpired("a#1", nanos(time));
  }

  @Operation
  public Set<String> takeExpired(@Param(name = "time") int time) {
    return table.takeExpired(nanos(time));
  }

  /** Runs the test in both modes of Lincheck. */
  @Nested
  public class Modes {
    @Test
    void modelChecking() {
      new ModelCheckingOptions()
          .iterations(5)
          .invocationsPerIteration(100)
          .threads(2)
          .actorsPerThread(3)
          .actorsBefore(2)
          .actorsAfter(1)
          .check(LeaseTableLincheckTest.class);
    }

    @Test
    void stress() {
      new StressOptions()
          .iterations(10)
          .invocationsPerIteration(200)
          .threads(2)
          .actorsPerThread(3)
          .actorsBefore(2)
          .actorsAfter(1)
          .check(LeaseTableLincheckTest.class);
    }
  }
}
