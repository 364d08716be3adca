package org.sedgeroad.testing.platform;

import org.kohsuke.args4j.Option;
import org.sedgeroad.testing.http.ProcessMain;

/** Runs the platform stand-in as a process until it is terminated. */
public final class PlatformMain {
  @Option(name = "--port", usage = "port, 0 for any free one")
  private int port;

  @Option(name = "--instance-lag-millis", usage = "lag of the instance list")
  private long instanceLagMillis;

  @Option(name = "--writes-per-second", usage = "limit of writes, 0 for none")
  private double writesPerSecond;

  @Option(name = "--reads-per-second", usage = "limit of reads, 0 for none")
  private double readsPerSecond;

  @Option(name = "--replay-changes", usage = "past changes that a watch can replay")
  private int replayChanges = PlatformOptions.DEFAULTS.replayChanges();

  @Option(name = "--seed", usage = "seed of random faults")
  private long seed = 1;

  private PlatformMain() {}

  /** Parses the options, starts the stand-in and prints {@code store=ADDRESS}. */
  public static void main(String[] arguments) {
    PlatformMain main = new PlatformMain();
    ProcessMain.parse(main, arguments);
    PlatformStandIn platform =
        PlatformStandIn.start(
            new PlatformOptions(
                main.port,
                main.instanceLagMillis,
                main.writesPerSecond,
                main.readsPerSecond,
                main.replayChanges,
                main.seed));
    ProcessMain.run("store=" + platform.address(), platform);
  }
}
