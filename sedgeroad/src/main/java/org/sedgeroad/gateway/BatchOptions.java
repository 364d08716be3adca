package org.sedgeroad.gateway;

/**
 * Options of a batch route.
 *
 * @param runTargetMillis time from the submission of a job until its results are due, in
 *     milliseconds
 * @param maximumWaitingTokens largest number of tokens of unfinished items over all instances, 0
 *     for no limit
 */
public record BatchOptions(long runTargetMillis, long maximumWaitingTokens) {

  /** Options of a route that is not a batch route. */
  public static final BatchOptions NONE = new BatchOptions(0, 0);
}
