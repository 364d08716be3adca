package org.sedgeroad.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * Decides whether voted values can be enforced while some failure domains still apply earlier ones.
 */
final class VoteRule {
  /**
   * Highest number of earlier values kept; only frequent votes during a long partition exceed it.
   */
  static final int MAX_OLDER = 16;

  private final DomainAllowance allowance;

  VoteRule(List<String> domains) {
    this.allowance = DomainAllowance.of("", domains);
  }

  /**
   * Returns the failure domains that have not applied the limits and that together may exceed them
   * under earlier values; empty if the limits can be enforced. Limits that are not written yet have
   * the version {@link Long#MAX_VALUE}.
   */
  List<String> domainsThatMayExceed(
      MemberLimits next, MemberShares shares, Map<String, DomainRecord> records) {
    TreeSet<String> exceeding = new TreeSet<>();
    for (LimitKind kind : LimitKind.values()) {
      OptionalLong limit = next.current().value(kind);
      if (!kind.isRate() || limit.isEmpty()) {
        continue;
      }
      long sum = 0;
      List<String> domains = new ArrayList<>();
      for (Map.Entry<String, DomainRecord> entry : records.entrySet()) {
        long rate = unconfirmedUse(next, kind, shares, entry.getKey(), entry.getValue());
        long absent = entry.getValue().absentLimitsVersion();
        if (absent < next.version()) {
          long alreadyCounted =
              rate == 0 ? 0 : limit.getAsLong() * allowance.isolatedPpmPerDomain(next.current());
          rate = add(rate, Math.max(0, allowance.isolatedUse(next, kind, absent) - alreadyCounted));
        }
        if (rate > 0) {
          domains.add(entry.getKey());
          sum = add(sum, rate);
        }
      }
      if (sum > limit.getAsLong() * LimitValues.MILLION) {
        exceeding.addAll(domains);
      }
    }
    return List.copyOf(exceeding);
  }

  /** Returns whether no rate is lower than before and the isolated share is the same. */
  static boolean isRaise(LimitValues before, LimitValues after) {
    for (LimitKind kind : LimitKind.values()) {
      long old = before.value(kind).orElse(Long.MAX_VALUE);
      if (kind.isRate() && after.value(kind).orElse(Long.MAX_VALUE) < old) {
        return false;
      }
    }
    return before.isolatedPpm() == after.isolatedPpm();
  }

  /** Returns the earlier values that some instance may still apply, and the latest ones. */
  static List<OlderLimits> possiblyApplied(MemberLimits limits, Map<String, DomainRecord> records) {
    long applied = Long.MAX_VALUE;
    for (DomainRecord record : records.values()) {
      applied = Math.min(applied, Math.min(record.limitsVersion(), record.absentLimitsVersion()));
    }
    List<OlderLimits> all = new ArrayList<>(limits.older());
    if (limits.version() > 0) {
      all.add(new OlderLimits(limits.version(), limits.current()));
    }
    List<OlderLimits> kept = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      boolean last = i + 1 == all.size();
      if (last || applied < all.get(i + 1).version()) {
        kept.add(all.get(i));
      }
    }
    return kept;
  }

  private long unconfirmedUse(
      MemberLimits next, LimitKind kind, MemberShares shares, String domain, DomainRecord record) {
    if (record.limitsVersion() >= next.version()) {
      return 0;
    }
    return anyUnlimited(next, kind, record.limitsVersion())
        ? Long.MAX_VALUE
        : allowance.possibleUse(next, kind, shares, domain, record);
  }

  /** Adds two rates; {@link Long#MAX_VALUE} means unlimited. */
  private static long add(long left, long right) {
    return left == Long.MAX_VALUE || right == Long.MAX_VALUE ? Long.MAX_VALUE : left + right;
  }

  private static boolean anyUnlimited(MemberLimits next, LimitKind kind, long appliedVersion) {
    return next.possibleAt(appliedVersion).stream()
        .anyMatch(values -> values.value(kind).isEmpty());
  }
}
