package org.sedgeroad.limit;

import java.math.BigInteger;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Computes the part of a member's rate that one failure domain may use.
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
   * <p>While another failure domain may still apply earlier values, the rate that it may use under
   * them is reserved, and the remainder is divided among the failure domains that apply the current
   * values. The reserve is at least the use under the current values, so that a failure domain with
   * older records computes a lower rate than one with newer records.
   *
   * @param limits the member's limits
   * @param kind a rate
   * @param shares the member's fractions of the limit
   * @param scope shares that the instance may grant
   * @param records last read record of each failure domain; one without a record has no instance
   *     that serves
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
    boolean ownDomainHasOutdatedAbsent = false;
    for (String other : domains) {
      long share = sharePpm(current, shares, other);
      long isolated = isolatedPpm(current);
      DomainRecord record = records.get(other);
      if (record == null) {
        applyingPpm += share + isolated;
        continue;
      }
      boolean hasOutdatedAbsent = record.absentLimitsVersion() < limits.version();
      if (!other.equals(domain) && record.limitsVersion() < limits.version()) {
        reserved += possibleUse(limits, kind, shares, other, record);
      } else {
        applyingPpm += hasOutdatedAbsent ? share : share + isolated;
      }
      if (hasOutdatedAbsent) {
        // An absent instance may still use the isolated share under values earlier than the
        // others'.
        reserved += isolatedUse(limits, kind, record.absentLimitsVersion());
        ownDomainHasOutdatedAbsent |= other.equals(domain);
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
            applyingPpm,
            ownDomainHasOutdatedAbsent));
  }

  private static long ownRate(
      long limit,
      long share,
      long isolated,
      GrantScope scope,
      long remaining,
      long applyingPpm,
      boolean ownDomainHasOutdatedAbsent) {
    if (ownDomainHasOutdatedAbsent) {
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
   * any values that it may still apply. Earlier values without a limit are unbounded and are
   * ignored.
   */
  public long possibleUse(
      MemberLimits limits, LimitKind kind, MemberShares shares, String other, DomainRecord record) {
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

  long isolatedUse(MemberLimits limits, LimitKind kind, long appliedVersion) {
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
    // A rate in micro-units multiplied by parts per million overflows a long.
    return BigInteger.valueOf(amount)
        .multiply(BigInteger.valueOf(numerator))
        .divide(BigInteger.valueOf(denominator))
        .longValueExact();
  }
}
