package org.sedgeroad.limit;

/**
 * Member with batch items that wait for capacity.
 *
 * @param member the member
 * @param sharePercent its voted share of the batch capacity, in percent, 0 to 100
 * @param priority its voted priority, 1 to 9
 * @param nextTokens expected tokens of its next item, at least 1
 */
public record WaitingMember(String member, int sharePercent, int priority, long nextTokens) {
  /** Share of a member without a voted one, in percent. */
  public static final int DEFAULT_SHARE_PERCENT = 100;

  /** Priority of a member without a voted one. */
  public static final int DEFAULT_PRIORITY = 5;

  /** Returns a waiting member with the share and the priority of its voted limits. */
  public static WaitingMember of(String member, LimitValues values, long nextTokens) {
    return new WaitingMember(
        member,
        (int) values.value(LimitKind.BATCH_SHARE).orElse(DEFAULT_SHARE_PERCENT),
        (int) values.value(LimitKind.PRIORITY).orElse(DEFAULT_PRIORITY),
        Math.max(1, nextTokens));
  }
}
