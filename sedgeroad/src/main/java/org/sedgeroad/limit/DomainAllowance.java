package org.sedgeroad.limit;

import java.math.BigInteger;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Computes what one failure domain may use of a member's rate.
 *
 * <p>Rates are in micro-units a second, so that a fraction of a small limit is not lost; all
 * divisions round down, so that the sum over the failure domains stays within the limit.
 *
 * @param domain own failure domain
 * @param domains all failure domains; the isolated share is split evenly over them
 */
public record DomainAllowance(String domain, List<String> domains) {

  /** Copies the list. */
  public DomainAllowance {
    domains = List.copyOf(domains);
  }

  /** Returns an allowance calculator for a failure domain. */
  public static DomainAllowance of(String domain, Collection<String> domains) {
    return new DomainAllowance(domain, List.copyOf(domains));
  }

  /**
   * Returns the rate that this failure domain may use now, in micro-units a second.
   *
   * <p>While another failure domain may still apply earlier values, its possible use under them is
   * reserved and the rest is divided over the failure domains that apply the current ones. The
   * reserve is at least the use under the current values: with that, a failure domain that knows
   * less than another computes less.
   *
   * @param limits the member's limits
   * @param kind a rate
   * @param shares the member's fractions
   * @param standing what the instance may grant
   * @param records what is known of the failure domains; one without a record does not serve
   * @return the rate, empty if the member has no limit of this kind
   */
  public OptionalLong microRate(
      Limits limits,
      LimitKind kind,
      MemberShares shares,
      GrantScope scope,
      Map<String, DomainRecord> records) {
    OptionalLong limit = limits.current().value(kind);
    if (limit.isEmpty()) {
      return limit;
    }
    LimitValues current = limits.current();
    long reserved = 0;
    long applying = 0;
    boolean hasAbsentInstance = false;
    for (String other : domains) {
      long share = sharePpm(current, shares, other);
      long isolated = isolatedPpm(current);
      DomainRecord record = records.get(other);
      if (record == null) {
        applying += share + isolated;
        continue;
      }
      boolean absent = record.absentLimitsVersion() < limits.version();
      if (!other.equals(domain) && record.limitsVersion() < limits.version()) {
        reserved += possibleUse(limits, kind, shares, other, record);
      } else {
        applying += absent ? share : share + isolated;
      }
      if (absent) {
        // An absent instance may use the isolated share under values that it alone still applies.
        reserved += isolatedUse(limits, kind, record.absentLimitsVersion());
        hasAbsentInstance |= other.equals(domain);
      }
    }
    long total = limit.getAsLong() * LimitValues.MILLION;
    long remaining = Math.max(0, total - reserved);
    long share = sharePpm(current, shares, domain);
    return OptionalLong.of(
        ownRate(
            limit.getAsLong(),
            share,
            isolatedPpm(current),
            scope,
            remaining,
            applying,
            hasAbsentInstance));
  }

  private static long ownRate(
      long limit,
      long share,
      long isolated,
      GrantScope scope,
      long remaining,
      long applying,
      boolean hasAbsentInstance) {
    if (hasAbsentInstance) {
      return switch (scope) {
        case NONE -> 0;
        case ISOLATED ->
            Math.min(limit * isolated, scale(remaining, isolated, applying + isolated));
        case SHARE, SHARE_AND_ISOLATED ->
            Math.min(limit * share, scale(remaining, share, applying));
      };
    }
    long part = scale(remaining, share + isolated, applying);
    return switch (scope) {
      case NONE -> 0;
      case ISOLATED -> Math.min(limit * isolated, part);
      case SHARE -> Math.max(0, Math.min(limit * share, part - limit * isolated));
      case SHARE_AND_ISOLATED -> Math.min(limit * (share + isolated), part);
    };
  }

  /**
   * Returns the highest rate, in micro-units a second, that another failure domain may use under
   * any values that it may still apply; without a limit in an earlier vote this can't be bounded
   * and only the current values count.
   */
  public long possibleUse(
      Limits limits, LimitKind kind, MemberShares shares, String other, DomainRecord record) {
    LimitValues current = limits.current();
    long highest =
        current.value(kind).orElse(0) * (sharePpm(current, shares, other) + isolatedPpm(current));
    for (LimitValues values : limits.possibleAt(record.limitsVersion())) {
      long ppm = isolatedPpm(values);
      if (!record.leaseExpired()) {
        ppm += sharePpm(values, shares, other);
      }
      highest = Math.max(highest, values.value(kind).orElse(0) * ppm);
    }
    return highest;
  }

  long isolatedUse(Limits limits, LimitKind kind, long appliedVersion) {
    long highest = 0;
    for (LimitValues values : limits.possibleAt(appliedVersion)) {
      highest = Math.max(highest, values.value(kind).orElse(0) * isolatedPpm(values));
    }
    return highest;
  }

  /** Returns the isolated share of each failure domain, in parts per million. */
  long isolatedPpm(LimitValues values) {
    return values.isolatedPpm() / domains.size();
  }

  private static long sharePpm(LimitValues values, MemberShares shares, String other) {
    long notIsolatedPpm = LimitValues.MILLION - values.isolatedPpm();
    return notIsolatedPpm * shares.fraction(other) / LimitValues.MILLION;
  }

  private static long scale(long amount, long numerator, long denominator) {
    if (denominator == 0) {
      return 0;
    }
    // The product of a rate in micro-units and parts per million exceeds a long.
    return BigInteger.valueOf(amount)
        .multiply(BigInteger.valueOf(numerator))
        .divide(BigInteger.valueOf(denominator))
        .longValueExact();
  }
}
