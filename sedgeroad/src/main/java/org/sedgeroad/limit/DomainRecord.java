package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;

/**
 * Versions of the configuration in use in a failure domain, as its lease object records them.
 *
 * @param limitsVersion version of the limits that all instances holding a lease have applied;
 *     {@link Long#MAX_VALUE} if none holds a lease
 * @param newestLimitsVersion highest version of the limits that one of them has applied
 * @param sharesVersion version of the share ledgers, which divide the limits over the failure
 *     domains, that all instances holding a lease have applied; if none holds a lease, the version
 *     below which no instance of the failure domain may grant
 * @param absentLimitsVersion version of the limits that all absent instances have applied; {@link
 *     Long#MAX_VALUE} if there is no absent instance
 * @param leaseExpired whether the leases of all instances have certainly expired
 */
public record DomainRecord(
    long limitsVersion,
    long newestLimitsVersion,
    long sharesVersion,
    long absentLimitsVersion,
    boolean leaseExpired) {

  /**
   * Reads a record from the content of a lease object.
   *
   * @param spec content of the lease object
   * @param isExpired whether the lease of a holder has certainly expired
   */
  public static DomainRecord fromSpec(JsonNode spec, Predicate<String> isExpired) {
    long limits = Long.MAX_VALUE;
    long newest = 0;
    long shares = Long.MAX_VALUE;
    boolean expired = true;
    for (var holders = spec.path(LeaseFields.HOLDERS).fieldNames(); holders.hasNext(); ) {
      String holder = holders.next();
      JsonNode entry = spec.path(LeaseFields.ROSTER).path(holder);
      limits = Math.min(limits, entry.path(LeaseFields.LIMITS).asLong(0));
      newest = Math.max(newest, entry.path(LeaseFields.LIMITS).asLong(0));
      shares = Math.min(shares, entry.path(LeaseFields.SHARES).asLong(0));
      expired &= isExpired.test(holder);
    }
    long absent = Long.MAX_VALUE;
    for (JsonNode entry : spec.path(LeaseFields.ABSENT)) {
      absent = Math.min(absent, entry.path(LeaseFields.LIMITS).asLong(0));
    }
    if (shares == Long.MAX_VALUE) {
      // No instance holds a lease. An instance that starts in this failure domain may apply a
      // ledger of this version.
      shares = spec.path(LeaseFields.SHARES_FLOOR).asLong(0);
    }
    return new DomainRecord(limits, newest, shares, absent, expired);
  }
}
