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
 * @param details what the instance reports beside its work
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
    boolean leaving,
    FleetDetails details)
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
    Objects.requireNonNull(details);
  }

  /** Creates a report of an instance that reports nothing beside its work. */
  public LoadReport(
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
      boolean leaving) {
    this(
        instance,
        incarnation,
        sequence,
        configurationVersion,
        endpointsVersion,
        liveWaiting,
        batchReady,
        waitingTokens,
        occupancy,
        sentToLimited,
        leaving,
        FleetDetails.NONE);
  }

  /** Returns a copy of this report with another sequence number. */
  public LoadReport withSequence(long next) {
    return copy(next, details);
  }

  /** Returns a copy of this report with other details. */
  public LoadReport withDetails(FleetDetails next) {
    return copy(sequence, next);
  }

  /**
   * Returns whether another report differs from this one in more than its sequence number and the
   * confirmation of the configuration, whose age changes all the time.
   */
  boolean differsFrom(LoadReport other) {
    return !copy(0, details.withConfirmation(Confirmation.NONE))
        .equals(other.copy(0, other.details.withConfirmation(Confirmation.NONE)));
  }

  private LoadReport copy(long nextSequence, FleetDetails nextDetails) {
    return new LoadReport(
        instance,
        incarnation,
        nextSequence,
        configurationVersion,
        endpointsVersion,
        liveWaiting,
        batchReady,
        waitingTokens,
        occupancy,
        sentToLimited,
        leaving,
        nextDetails);
  }
}
