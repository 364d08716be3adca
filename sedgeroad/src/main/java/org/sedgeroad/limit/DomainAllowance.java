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
      Standing standing,
      Map<String, DomainRecord> records) {
    OptionalLong limit = limits.current().value(kind);
    if (limit.isEmpty()) {
      return limit;
    }
    LimitValues current = limits.current();
    long reserved = 0;
    long applying = 0;
    boolean ownAbsent = false;
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
        ownAbsent |= other.equals(domain);
      }
    }
    long whole = limit.getAsLong() * LimitValues.MILLION;
    long rest = Math.max(0, whole - reserved);
    long share = sharePpm(current, shares, domain);
    return OptionalLong.of(
        ownPart(
            limit.getAsLong(), share, isolatedPpm(current), standing, rest, applying, ownAbsent));
  }

  private static long ownPart(
      long limit,
      long share,
      long isolated,
      Standing standing,
      long rest,
      long applying,
      boolean ownAbsent) {
    if (ownAbsent) {
      return switch (standing) {
        case NONE -> 0;
        case ISOLATED -> Math.min(limit * isolated, scale(rest, isolated, applying + isolated));
        case SHARE, SHARE_AND_ISOLATED -> Math.min(limit * share, scale(rest, share, applying));
      };
    }
    long part = scale(rest, share + isolated, applying);
    return switch (standing) {
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
    long most =
        current.value(kind).orElse(0) * (sharePpm(current, shares, other) + isolatedPpm(current));
    for (LimitValues values : limits.possibleAt(record.limitsVersion())) {
      long ppm = isolatedPpm(values);
      if (!record.leaseExpired()) {
        ppm += sharePpm(values, shares, other);
      }
      most = Math.max(most, values.value(kind).orElse(0) * ppm);
    }
    return most;
  }

  long isolatedUse(Limits limits, LimitKind kind, long appliedVersion) {
    long most = 0;
    for (LimitValues values : limits.possibleAt(appliedVersion)) {
      most = Math.max(most, values.value(kind).orElse(0) * isolatedPpm(values));
    }
    return most;
  }

  /** Returns the isolated share of each failure domain, in parts per million. */
  long isolatedPpm(LimitValues values) {
    return values.isolatedPpm() / domains.size();
  }

  private static long sharePpm(LimitValues values, MemberShares shares, String other) {
    long open = LimitValues.MILLION - values.isolatedPpm();
    return open * shares.fraction(other) / LimitValues.MILLION;
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
