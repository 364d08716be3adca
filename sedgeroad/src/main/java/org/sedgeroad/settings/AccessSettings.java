package org.sedgeroad.settings;

import java.util.Objects;

/**
 * Settings of the access control.
 *
 * @param revokeMillis time after which no request with a revoked key may run, in milliseconds; 0
 *     for no bound
 * @param quota settings of the quotas, not null
 */
public record AccessSettings(long revokeMillis, QuotaSettings quota) {
  /** Settings without a bound on revocation. */
  public static final AccessSettings DEFAULT = new AccessSettings(0, QuotaSettings.DEFAULT);

  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public AccessSettings {
    Objects.requireNonNull(quota);
  }
}
