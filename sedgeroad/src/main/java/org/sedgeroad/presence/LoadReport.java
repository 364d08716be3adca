package org.sedgeroad.presence;

import java.util.Map;
import java.util.Objects;

/**
 * What one instance tells the others. No component may be null.
 *
 * @param instance name of the instance
 * @param incarnation number of the process, another one after a restart
 * @param sequence number of the report within the incarnation
 * @param configurationVersion newest configuration that the instance has in force
 * @param liveWaiting live requests that wait for a place
 * @param batchReady batch items that could start, by service
 * @param waitingTokens tokens of unfinished items of the jobs that the instance runs, by route
 * @param occupancy work at each endpoint
 * @param leaving whether the instance is stopping and has given its jobs up
 */
public record LoadReport(
    String instance,
    long incarnation,
    long sequence,
    long configurationVersion,
    int liveWaiting,
    Map<String, Integer> batchReady,
    Map<String, Long> waitingTokens,
    Map<String, Occupancy> occupancy,
    boolean leaving) {

  /** Copies the maps. */
  public LoadReport {
    Objects.requireNonNull(instance);
    batchReady = Map.copyOf(batchReady);
    waitingTokens = Map.copyOf(waitingTokens);
    occupancy = Map.copyOf(occupancy);
  }

  /** Returns this report with another number. */
  public LoadReport withSequence(long next) {
    return new LoadReport(
        instance,
        incarnation,
        next,
        configurationVersion,
        liveWaiting,
        batchReady,
        waitingTokens,
        occupancy,
        leaving);
  }
}
