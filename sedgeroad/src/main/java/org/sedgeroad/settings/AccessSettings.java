package org.sedgeroad.settings;

/**
 * Settings of the access control.
 *
 * @param revokeMillis time after which no request with a revoked key may run, in milliseconds; 0
 *     for no bound
 * @param quotaWindowMillis length of the window in which the requests of a workspace are counted,
 *     in milliseconds
 */
public record AccessSettings(long revokeMillis, long quotaWindowMillis) {
  /** Settings without a bound on revocation. */
  public static final AccessSettings DEFAULT = new AccessSettings(0, 5_000);
}
