package org.sedgeroad.announcement;

/**
 * An announcement with the number of times that the announcements of its endpoint have changed.
 * Instances exchange announcements and merge them, in any order, to the same result.
 *
 * @param number number of changes as known to the instance that received the announcement
 * @param announcement the announcement, not null
 */
public record VersionedAnnouncement(long number, Announcement announcement) {
  /** State of an endpoint that has not announced anything. */
  static final VersionedAnnouncement INITIAL = new VersionedAnnouncement(0, Announcement.NONE);

  /**
   * Returns the state after an answer of the endpoint. An endpoint that is leaving stays so until
   * its end, whatever it answers later.
   */
  VersionedAnnouncement after(ReceivedAnnouncement received) {
    Announcement next =
        new Announcement(
            received.requestsPerSecond().orElse(announcement.requestsPerSecond()),
            received.leaving() || announcement.leaving());
    return next.equals(announcement) ? this : new VersionedAnnouncement(number + 1, next);
  }

  /** Returns the later one, with the lower rate if both are as late; leaving if one of them is. */
  VersionedAnnouncement merge(VersionedAnnouncement other) {
    VersionedAnnouncement later = other.isAfter(this) ? other : this;
    boolean leaving = announcement.leaving() || other.announcement.leaving();
    return later.announcement.leaving() == leaving
        ? later
        : new VersionedAnnouncement(
            later.number, new Announcement(later.announcement.requestsPerSecond(), true));
  }

  private boolean isAfter(VersionedAnnouncement other) {
    return number == other.number
        ? announcement.requestsPerSecond() < other.announcement.requestsPerSecond()
        : number > other.number;
  }
}
