package org.sedgeroad.peer;

/** Mutable knowledge of one other instance, guarded by the lock of {@link GossipMembership}. */
final class KnownMember {
  /** Whole sightings sent after a change; enough to reach 32 instances over three at a time. */
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

  /** Returns whether the instance still has its duties. */
  boolean isUsable() {
    return state == MemberState.LIVE || state == MemberState.SUSPECTED;
  }

  /** Returns whether others should hear of the instance. */
  boolean isGossiped() {
    return state != MemberState.DEAD;
  }

  /** Takes a sighting with progress; returns whether the state changed. */
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

  /** Notes that the instance said that it is leaving; returns whether that is news. */
  boolean leave() {
    boolean news = !sighting.leaving();
    sighting = sighting.withLeaving();
    if (news && state != MemberState.DEAD) {
      state = MemberState.LEAVING;
      announcements = ANNOUNCEMENTS;
    }
    return news;
  }

  /** Applies the time without progress; returns whether the state changed. */
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

  /** Leaves out a time in which this process was paused. */
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
