package org.sedgeroad.presence;

import java.util.Map;
import java.util.Objects;
import org.sedgeroad.announcement.VersionedAnnouncement;

/**
 * Announcements of endpoints that have changed recently, sent to hubs and passed on by them. No
 * component may be null.
 *
 * @param instance name of the sender
 * @param announcements the announcements by the names of the endpoints' incarnations
 */
public record AnnouncementNews(String instance, Map<String, VersionedAnnouncement> announcements)
    implements LoadMessage {

  /**
   * Copies the map.
   *
   * @throws NullPointerException if a component is null
   */
  public AnnouncementNews {
    Objects.requireNonNull(instance);
    announcements = Map.copyOf(announcements);
  }
}
