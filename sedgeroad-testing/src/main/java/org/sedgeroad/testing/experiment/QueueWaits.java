package org.sedgeroad.testing.experiment;

import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.testing.load.EngineRun;
import org.sedgeroad.testing.load.EngineRuns;

/** Static methods that find live requests that queued at an engine while batch items ran there. */
final class QueueWaits {
  /** Shorter waits are caused by thread scheduling in the engine stand-in, not by full slots. */
  private static final long MIN_WAIT_MICROS = 5_000;

  private QueueWaits() {}

  /**
   * Wait of a live run while a batch item held a slot of the same engine.
   *
   * @param run the live run
   * @param untilMicros last time at which the run waited while a batch item ran
   */
  record Wait(EngineRun run, long untilMicros) {}

  /** Returns the waits behind batch items, for the live runs that arrived between two times. */
  static List<Wait> behindBatch(EngineRuns runs, long fromMicros, long toMicros) {
    List<EngineRun> batch = runs.stream(EngineRun::isBatch).toList();
    List<Wait> waits = new ArrayList<>();
    runs.stream(run -> run.serviceClass().equals("live"))
        .filter(run -> run.acceptMicros() >= fromMicros && run.acceptMicros() < toMicros)
        .filter(run -> run.waitMicros(endOfWait(run, runs)) > MIN_WAIT_MICROS)
        .forEach(
            run -> {
              long until = lastBatchMicros(run, endOfWait(run, runs), batch);
              if (until - run.acceptMicros() > MIN_WAIT_MICROS) {
                waits.add(new Wait(run, until));
              }
            });
    return waits;
  }

  private static long endOfWait(EngineRun run, EngineRuns runs) {
    if (run.startMicros() >= 0) {
      return run.startMicros();
    }
    return run.endMicros() >= 0 ? run.endMicros() : runs.readMicros();
  }

  /**
   * Returns the last time during the wait at which a batch item held a slot of the engine, a large
   * negative value if none did.
   */
  private static long lastBatchMicros(EngineRun run, long waitEnd, List<EngineRun> batch) {
    long last = Long.MIN_VALUE / 2;
    for (EngineRun other : batch) {
      boolean beside =
          other.engine().equals(run.engine()) && other.slotMicros(run.acceptMicros(), waitEnd) > 0;
      if (beside) {
        long end = other.endMicros() < 0 ? waitEnd : other.endMicros();
        last = Math.max(last, Math.min(end, waitEnd));
      }
    }
    return last;
  }
}
