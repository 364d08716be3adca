package org.sedgeroad.check;

/**
 * What a check needs to know beside the configuration.
 *
 * @param quotaWindowMillis window in which requests of a workspace are counted, in milliseconds
 * @param requestsPerSecond live requests that all endpoints together can serve per second, 0 if not
 *     known
 */
public record CheckOptions(long quotaWindowMillis, double requestsPerSecond) {}
