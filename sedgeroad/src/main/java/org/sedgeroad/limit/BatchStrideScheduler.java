package org.sedgeroad.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the member whose batch item starts next, by stride scheduling on tokens within the
 * members' batch shares.
 *
 * <p>A member that would exceed its share waits while another waiting member is below its own
 * share. Members below their shares are served in proportion to their priorities. When every
 * waiting member has reached its share, the remaining capacity goes to the one that exceeds its
 * share least. Not thread-safe.
 */
public final class BatchStrideScheduler {
  // Divisible by every priority from 1 to 9, so that passes advance without rounding errors.
  private static final long STRIDE = 2_520;
  private static final int PERCENT = 100;

  private final Map<String, Long> held = new HashMap<>();
  private final Map<String, Long> passes = new HashMap<>();
  private long lastPass;

  /**
   * Chooses the member whose next item should start.
   *
   * @param waiting members that have waiting items
   * @param capacityTokens tokens that the batch capacity can hold at once, at least 1
   * @return the member, empty if no member waits or all have a share of 0
   */
  public Optional<String> next(Collection<WaitingMember> waiting, long capacityTokens) {
    WaitingMember firstWithinShare = null;
    WaitingMember leastOverShare = null;
    for (WaitingMember candidate : waiting) {
      if (candidate.sharePercent() == 0) {
        continue;
      }
      if (isWithinShare(candidate, capacityTokens)) {
        firstWithinShare =
            firstWithinShare == null || precedes(candidate, firstWithinShare)
                ? candidate
                : firstWithinShare;
      }
      leastOverShare =
          leastOverShare == null || exceedsShareLess(candidate, leastOverShare)
              ? candidate
              : leastOverShare;
    }
    return Optional.ofNullable(firstWithinShare != null ? firstWithinShare : leastOverShare)
        .map(WaitingMember::member);
  }

  /** Records that the next item of a member has started. */
  public void started(WaitingMember member) {
    held.merge(member.member(), member.nextTokens(), Long::sum);
    long pass = pass(member.member());
    lastPass = Math.max(lastPass, pass);
    passes.put(member.member(), pass + member.nextTokens() * STRIDE / member.priority());
  }

  /**
   * Records that an item has ended.
   *
   * @param member member of the item
   * @param tokens tokens that were counted when the item started
   */
  public void ended(String member, long tokens) {
    held.computeIfPresent(member, (key, sum) -> sum > tokens ? sum - tokens : null);
  }

  /** Returns the tokens of the running items of a member. */
  public long held(String member) {
    return held.getOrDefault(member, 0L);
  }

  private boolean isWithinShare(WaitingMember candidate, long capacityTokens) {
    long heldTokens = held(candidate.member());
    // One item is always allowed; otherwise a share smaller than one item would never be served.
    return heldTokens == 0
        || (heldTokens + candidate.nextTokens()) * PERCENT
            <= capacityTokens * candidate.sharePercent();
  }

  private boolean precedes(WaitingMember left, WaitingMember right) {
    int order = Long.compare(pass(left.member()), pass(right.member()));
    return order == 0 ? left.member().compareTo(right.member()) < 0 : order < 0;
  }

  private boolean exceedsShareLess(WaitingMember left, WaitingMember right) {
    long leftHeld = (held(left.member()) + left.nextTokens()) * right.sharePercent();
    long rightHeld = (held(right.member()) + right.nextTokens()) * left.sharePercent();
    return leftHeld == rightHeld ? precedes(left, right) : leftHeld < rightHeld;
  }

  /** Returns the pass of a member; a member gets no credit for the time in which it was idle. */
  private long pass(String member) {
    return Math.max(passes.getOrDefault(member, 0L), lastPass);
  }
}
