package org.sedgeroad.peer;

/** The mutable state of one other instance, guarded by the lock of {@link GossipMembership}. */
final class KnownMember {
  /**
   * Number of heartbeats that carry the complete state after a change; enough to reach 32 instances
   * at three heartbeats a round.
   */
  private static final int ANNOUNCEMENT_COUNT = 12;

  private MemberInfo info;
  private MemberState state = MemberState.LIVE;
  private long lastProgressNanos;
  private int pendingAnnouncements = ANNOUNCEMENT_COUNT;

  KnownMember(MemberInfo info, long nowNanos) {
    this.info = info;
    this.lastProgressNanos = nowNanos;
    this.state = info.leaving() ? MemberState.LEAVING : MemberState.LIVE;
  }

  MemberInfo info() {
    return info;
  }

  MemberState state() {
    return state;
  }

  /** Returns whether the instance counts as live, so that no other takes over its work. */
  boolean isConsideredLive() {
    return state == MemberState.LIVE || state == MemberState.SUSPECTED;
  }

  /** Returns whether heartbeats to others mention the instance. */
  boolean isGossiped() {
    return state != MemberState.DEAD;
  }

  /** Applies a newer state; returns whether the instance restarted, came back or began to leave. */
  boolean update(MemberInfo newer, long nowNanos) {
    boolean restarted = newer.incarnation() != info.incarnation();
    boolean leaving = newer.leaving() || (info.leaving() && !restarted);
    info = leaving ? newer.withLeaving() : newer;
    lastProgressNanos = nowNanos;
    MemberState before = state;
    state = leaving ? MemberState.LEAVING : MemberState.LIVE;
    boolean changed = restarted || before == MemberState.DEAD || (leaving && before != state);
    if (changed) {
      pendingAnnouncements = ANNOUNCEMENT_COUNT;
    }
    return changed;
  }

  /** Records that the instance is leaving; returns whether this had not been recorded before. */
  boolean markLeaving() {
    boolean changed = !info.leaving();
    info = info.withLeaving();
    if (changed && state != MemberState.DEAD) {
      state = MemberState.LEAVING;
      pendingAnnouncements = ANNOUNCEMENT_COUNT;
    }
    return changed;
  }

  /**
   * Updates the state by the time since the last progress; returns whether the state changed.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @param suspectAfterNanos time without progress after which the instance is suspected, in
   *     nanoseconds
   * @param deadAfterNanos time without progress after which the instance is considered failed, in
   *     nanoseconds
   */
  boolean updateState(long nowNanos, long suspectAfterNanos, long deadAfterNanos) {
    long sinceProgress = nowNanos - lastProgressNanos;
    MemberState before = state;
    if (sinceProgress >= deadAfterNanos) {
      state = MemberState.DEAD;
    } else if (sinceProgress >= suspectAfterNanos && state == MemberState.LIVE) {
      state = MemberState.SUSPECTED;
    }
    return state != before;
  }

  long nanosSinceProgress(long nowNanos) {
    return nowNanos - lastProgressNanos;
  }

  /** Excludes a time during which this process was paused from the time without progress. */
  void excludePause(long nanos) {
    lastProgressNanos += nanos;
  }

  boolean hasAnnouncement() {
    return pendingAnnouncements > 0 && isGossiped();
  }

  void countAnnouncement() {
    pendingAnnouncements--;
  }
}
