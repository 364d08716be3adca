package org.sedgeroad.peer;

/** The mutable state of one other instance, guarded by the lock of {@link GossipMembership}. */
final class KnownMember {
  /**
   * Number of heartbeats that carry the complete state after a change; enough to reach 32 instances
   * at three heartbeats a round.
   */
  private static final int ANNOUNCEMENTS = 12;

  private MemberSighting sighting;
  private MemberState state = MemberState.LIVE;
  private long progressNanos;
  private int announcements = ANNOUNCEMENTS;

  KnownMember(MemberSighting sighting, long nowNanos) {
    this.sighting = sighting;
    this.progressNanos = nowNanos;
    this.state = sighting.leaving() ? MemberState.LEAVING : MemberState.LIVE;
  }

  MemberSighting sighting() {
    return sighting;
  }

  MemberState state() {
    return state;
  }

  /** Returns whether the instance counts as live and so keeps its responsibilities. */
  boolean isUsable() {
    return state == MemberState.LIVE || state == MemberState.SUSPECTED;
  }

  /** Returns whether heartbeats to others mention the instance. */
  boolean isGossiped() {
    return state != MemberState.DEAD;
  }

  /** Applies a newer state; returns whether the instance restarted, came back or began to leave. */
  boolean advance(MemberSighting newer, long nowNanos) {
    boolean restarted = newer.incarnation() != sighting.incarnation();
    boolean leaving = newer.leaving() || (sighting.leaving() && !restarted);
    sighting = leaving ? newer.withLeaving() : newer;
    progressNanos = nowNanos;
    MemberState before = state;
    state = leaving ? MemberState.LEAVING : MemberState.LIVE;
    boolean changed = restarted || before == MemberState.DEAD || (leaving && before != state);
    if (changed) {
      announcements = ANNOUNCEMENTS;
    }
    return changed;
  }

  /** Records that the instance announced its leaving; returns whether that was not known before. */
  boolean leave() {
    boolean news = !sighting.leaving();
    sighting = sighting.withLeaving();
    if (news && state != MemberState.DEAD) {
      state = MemberState.LEAVING;
      announcements = ANNOUNCEMENTS;
    }
    return news;
  }

  /**
   * Updates the state by the time since the last progress; returns whether the state changed.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @param suspicionNanos time without progress after which the instance is suspected, in
   *     nanoseconds
   * @param deathNanos time without progress after which the instance is considered failed, in
   *     nanoseconds
   */
  boolean age(long nowNanos, long suspicionNanos, long deathNanos) {
    long silent = nowNanos - progressNanos;
    MemberState before = state;
    if (silent >= deathNanos) {
      state = MemberState.DEAD;
    } else if (silent >= suspicionNanos && state == MemberState.LIVE) {
      state = MemberState.SUSPECTED;
    }
    return state != before;
  }

  long silentNanos(long nowNanos) {
    return nowNanos - progressNanos;
  }

  /** Excludes a time during which this process was paused from the time without progress. */
  void skip(long nanos) {
    progressNanos += nanos;
  }

  boolean hasAnnouncement() {
    return announcements > 0 && isGossiped();
  }

  void announced() {
    announcements--;
  }
}
