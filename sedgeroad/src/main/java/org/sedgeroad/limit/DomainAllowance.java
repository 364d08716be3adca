package org.sedgeroad.limit;

import java.math.BigInteger;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Calculator of the part of a member's rate that one failure domain may use.
 *
 * <p>Rates are in micro-units per second, so that fractions of small limits are not lost. All
 * divisions round down, so that the sum over the failure domains stays within the limit.
 *
 * @param domain failure domain of this instance
 * @param domains all failure domains; the isolated share is split evenly over them
 */
public record DomainAllowance(String domain, List<String> domains) {

  /** Creates a calculator with a copy of the list. */
  public DomainAllowance {
    domains = List.copyOf(domains);
  }

  /** Returns an allowance calculator for a failure domain. */
  public static DomainAllowance of(String domain, Collection<String> domains) {
    return new DomainAllowance(domain, List.copyOf(domains));
  }

  /**
   * Returns the rate that this failure domain may use now, in micro-units per second.
   *
   * <p>Another failure domain may still apply earlier values. The highest rate that it may use
   * under those is reserved; the rest is divided among the failure domains that apply the current
   * values. For each domain that may apply earlier values, at least the rate that it may use under
   * the current ones is reserved. A failure domain with older records therefore computes a lower
   * rate than one with newer records.
   *
   * @param limits the member's limits
   * @param kind kind of the limit, must be a rate
   * @param shares fractions of the member's limit that the failure domains get
   * @param scope shares that the instance may grant
   * @param records last read record of each failure domain; a failure domain without a record has
   *     no serving instance and counts as applying the current values
   * @return the rate, empty if the member has no limit of this kind
   */
  public OptionalLong microRate(
      MemberLimits limits,
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
    long applyingPpm = 0;
    boolean ownDomainHasOutdatedAbsentInstance = false;
    for (String each : domains) {
      long share = sharePpm(current, shares, each);
      long isolated = isolatedPpmPerDomain(current);
      DomainRecord record = records.get(each);
      if (record == null) {
        applyingPpm += share + isolated;
        continue;
      }
      boolean hasOutdatedAbsentInstance = record.absentLimitsVersion() < limits.version();
      if (!each.equals(domain) && record.limitsVersion() < limits.version()) {
        reserved += possibleUse(limits, kind, shares, each, record);
      } else {
        applyingPpm += hasOutdatedAbsentInstance ? share : share + isolated;
      }
      if (hasOutdatedAbsentInstance) {
        // An absent instance may still use the isolated share under earlier values than those that
        // the other instances apply.
        reserved += isolatedUse(limits, kind, record.absentLimitsVersion());
        ownDomainHasOutdatedAbsentInstance |= each.equals(domain);
      }
    }
    long total = limit.getAsLong() * LimitValues.MILLION;
    long remaining = Math.max(0, total - reserved);
    long share = sharePpm(current, shares, domain);
    return OptionalLong.of(
        ownRate(
            limit.getAsLong(),
            share,
            isolatedPpmPerDomain(current),
            scope,
            remaining,
            applyingPpm,
            ownDomainHasOutdatedAbsentInstance));
  }

  private static long ownRate(
      long limit,
      long share,
      long isolated,
      GrantScope scope,
      long remaining,
      long applyingPpm,
      boolean ownDomainHasOutdatedAbsentInstance) {
    if (ownDomainHasOutdatedAbsentInstance) {
      return switch (scope) {
        case NONE -> 0;
        case ISOLATED ->
            Math.min(limit * isolated, scale(remaining, isolated, applyingPpm + isolated));
        case SHARE, SHARE_AND_ISOLATED ->
            Math.min(limit * share, scale(remaining, share, applyingPpm));
      };
    }
    long part = scale(remaining, share + isolated, applyingPpm);
    return switch (scope) {
      case NONE -> 0;
      case ISOLATED -> Math.min(limit * isolated, part);
      case SHARE -> Math.max(0, Math.min(limit * share, part - limit * isolated));
      case SHARE_AND_ISOLATED -> Math.min(limit * (share + isolated), part);
    };
  }

  /**
   * Returns the highest rate, in micro-units per second, that another failure domain may use under
   * the current values or any earlier ones that it may still apply. If the leases of all its
   * instances have expired, only the isolated share of the earlier values counts. Earlier values
   * without a limit are unbounded and are ignored.
   */
  public long possibleUse(
      MemberLimits limits, LimitKind kind, MemberShares shares, String other, DomainRecord record) {
    LimitValues current = limits.current();
    long highest =
        current.value(kind).orElse(0)
            * (sharePpm(current, shares, other) + isolatedPpmPerDomain(current));
    for (LimitValues values : limits.possibleAt(record.limitsVersion())) {
      long ppm = isolatedPpmPerDomain(values);
      if (!record.leaseExpired()) {
        ppm += sharePpm(values, shares, other);
      }
      highest = Math.max(highest, values.value(kind).orElse(0) * ppm);
    }
    return highest;
  }

  long isolatedUse(MemberLimits limits, LimitKind kind, long appliedVersion) {
    long highest = 0;
    for (LimitValues values : limits.possibleAt(appliedVersion)) {
      highest = Math.max(highest, values.value(kind).orElse(0) * isolatedPpmPerDomain(values));
    }
    return highest;
  }

  /** Returns the isolated share of one failure domain, in parts per million. */
  long isolatedPpmPerDomain(LimitValues values) {
    return values.isolatedPpm() / domains.size();
  }

  private static long sharePpm(LimitValues values, MemberShares shares, String ofDomain) {
    long notIsolatedPpm = LimitValues.MILLION - values.isolatedPpm();
    return notIsolatedPpm * shares.fraction(ofDomain) / LimitValues.MILLION;
  }

  private static long scale(long amount, long numerator, long denominator) {
    if (denominator == 0) {
      return 0;
    }
    // A rate in micro-units multiplied by parts per million overflows a long.
    return BigInteger.valueOf(amount)
        .multiply(BigInteger.valueOf(numerator))
        .divide(BigInteger.valueOf(denominator))
        .longValueExact();
  }
}
