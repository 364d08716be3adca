package org.sedgeroad.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Says whose batch item goes next: stride scheduling by tokens, within the members' batch shares.
 *
 * <p>A member that would hold more than its share waits as long as another waiting member is below
 * its own. Members below their share take turns in proportion to their priority. When all that wait
 * are at their shares, the capacity that is left goes to the one that is least above. Not
 * thread-safe.
 */
public final class BatchStrideScheduler {
  // Divides by each priority without a rest, so that equal work moves equal passes.
  private static final long STRIDE = 2_520;
  private static final int PERCENT = 100;

  private final Map<String, Long> held = new HashMap<>();
  private final Map<String, Long> passes = new HashMap<>();
  private long lastPass;

  /**
   * Chooses the member whose next item should start.
   *
   * @param waiting members with waiting items
   * @param capacityTokens tokens that the batch capacity holds at once, at least 1
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

  /** Counts an item of a member that starts. */
  public void started(WaitingMember member) {
    held.merge(member.member(), member.nextTokens(), Long::sum);
    long pass = pass(member.member());
    lastPass = Math.max(lastPass, pass);
    passes.put(member.member(), pass + member.nextTokens() * STRIDE / member.priority());
  }

  /** Counts the end of an item, with the tokens with which it was started. */
  public void ended(String member, long tokens) {
    held.computeIfPresent(member, (key, sum) -> sum > tokens ? sum - tokens : null);
  }

  /** Returns the tokens that a member holds. */
  public long held(String member) {
    return held.getOrDefault(member, 0L);
  }

  private boolean isWithinShare(WaitingMember candidate, long capacityTokens) {
    long heldTokens = held(candidate.member());
    // One item is always possible, or a share below the size of one item would never be served.
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

  /** Returns a member's pass; one that was idle gets no credit for that time. */
  private long pass(String member) {
    return Math.max(passes.getOrDefault(member, 0L), lastPass);
  }
}
