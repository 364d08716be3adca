package org.sedgeroad.testing.engine;

import org.kohsuke.args4j.Option;
import org.sedgeroad.testing.http.ProcessMain;

/** Runs the engine stand-in as a process until it is terminated or crashes. */
public final class EngineMain {
  @Option(name = "--port", usage = "port, 0 for any free one")
  private int port;

  @Option(name = "--name", usage = "name shown in answers and reports")
  private String name = "engine";

  @Option(name = "--model", usage = "name of the model")
  private String model = "model";

  @Option(name = "--slots", usage = "concurrent streams")
  private int slots = 16;

  @Option(name = "--token-millis", usage = "time between tokens of a stream that runs alone")
  private double tokenMillis = 20;

  @Option(name = "--prefill-micros", usage = "time for an uncached prompt token")
  private double prefillMicros = 100;

  @Option(name = "--batch-slowdown", usage = "part of the token time that each other stream adds")
  private double batchSlowdown = 0.02;

  @Option(name = "--cache-tokens", usage = "size of the prefix cache")
  private int cacheTokens = 262_144;

  @Option(name = "--check-fencing", usage = "refuse orders with an old fencing number")
  private boolean checkFencing;

  @Option(name = "--report-lag-millis", usage = "lag of load reports and cache events")
  private long reportLagMillis = 500;

  @Option(name = "--event-gap-probability", usage = "probability that a cache event is missing")
  private double eventGapProbability = 0.05;

  @Option(name = "--resume-millis", usage = "time for which an ended run can be resumed")
  private long resumeMillis = 30_000;

  @Option(name = "--crash-millis", usage = "time without connections after a crash, 0 to halt")
  private long crashMillis;

  @Option(name = "--seed", usage = "seed of random gaps")
  private long seed = 1;

  private EngineMain() {}

  /** Parses the options, starts the stand-in and prints {@code engine=ADDRESS}. */
  public static void main(String[] arguments) {
    EngineMain main = new EngineMain();
    ProcessMain.parse(main, arguments);
    EngineStandIn engine = EngineStandIn.start(main.options());
    ProcessMain.run("engine=" + engine.address(), engine);
  }

  private EngineOptions options() {
    return new EngineOptions(
        port,
        name,
        model,
        slots,
        tokenMillis,
        prefillMicros,
        batchSlowdown,
        cacheTokens,
        checkFencing,
        reportLagMillis,
        eventGapProbability,
        resumeMillis,
        crashMillis,
        crashMillis == 0,
        seed);
  }
}
