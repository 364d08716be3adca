package org.sedgeroad.presence;

import java.util.Map;
import java.util.Objects;

/**
 * Report of an instance's load, sent to the other instances. No component may be null.
 *
 * @param instance name of the instance
 * @param incarnation number of the process, a different one after each restart
 * @param sequence number of the report, increasing within the incarnation
 * @param configurationVersion configuration version in force at the instance
 * @param endpointsVersion store version of the newest change of an endpoint that was received
 * @param liveWaiting number of live requests that wait for a slot
 * @param batchReady number of batch items that could start, by the report name of their queue
 * @param waitingTokens tokens of unfinished items of the jobs that the instance runs, by route
 * @param occupancy numbers of live requests and batch items of the instance, by endpoint name
 * @param sentToLimited number of requests that the instance has sent lately to endpoints with a
 *     limited rate, by the names of their incarnations, without those that got none
 * @param leaving whether the instance is stopping and has given up its jobs
 */
public record LoadReport(
    String instance,
    long incarnation,
    long sequence,
    long configurationVersion,
    long endpointsVersion,
    int liveWaiting,
    Map<String, Integer> batchReady,
    Map<String, Long> waitingTokens,
    Map<String, Occupancy> occupancy,
    Map<String, Integer> sentToLimited,
    boolean leaving)
    implements LoadMessage {

  /**
   * Copies the maps.
   *
   * @throws NullPointerException if a component is null
   */
  public LoadReport {
    Objects.requireNonNull(instance);
    batchReady = Map.copyOf(batchReady);
    waitingTokens = Map.copyOf(waitingTokens);
    occupancy = Map.copyOf(occupancy);
    sentToLimited = Map.copyOf(sentToLimited);
  }

  /** Returns a copy of this report with another sequence number. */
  public LoadReport withSequence(long next) {
    return new LoadReport(
        instance,
        incarnation,
        next,
        configurationVersion,
        endpointsVersion,
        liveWaiting,
        batchReady,
        waitingTokens,
        occupancy,
        sentToLimited,
        leaving);
  }
}
