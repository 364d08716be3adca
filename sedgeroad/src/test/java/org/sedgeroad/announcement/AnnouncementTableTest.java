package org.sedgeroad.announcement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.placement.VirtualTime;

/** Guards against announcements that are forgotten, outlive their endpoint or differ for long. */
class AnnouncementTableTest {
  private static final String ENDPOINT = "e1#5";
  private static final ReceivedAnnouncement LEAVING =
      new ReceivedAnnouncement(OptionalDouble.of(Announcement.UNLIMITED), true, 0);
  private static final ReceivedAnnouncement NOTHING =
      new ReceivedAnnouncement(OptionalDouble.of(Announcement.UNLIMITED), false, 0);

  private final VirtualTime time = new VirtualTime();
  private final AnnouncementTable table = new AnnouncementTable(time);

  private static ReceivedAnnouncement rate(double requestsPerSecond) {
    return new ReceivedAnnouncement(OptionalDouble.of(requestsPerSecond), false, 0);
  }

  @Nested
  class Rate {
    @Test
    void lastsUntilAnAnswerWithoutIt() {
      assertFalse(table.record(ENDPOINT, NOTHING));
      assertTrue(table.isEmpty());
      assertTrue(table.record(ENDPOINT, rate(2)));
      assertFalse(table.record(ENDPOINT, rate(2)));
      assertFalse(table.record(ENDPOINT, ReceivedAnnouncement.UNKNOWN));
      assertEquals(2, table.announcement(ENDPOINT).requestsPerSecond());
      assertTrue(table.record(ENDPOINT, NOTHING));
      assertFalse(table.announcement(ENDPOINT).isLimited());
    }
  }

  @Nested
  class Leaving {
    @Test
    void lastsUntilTheEndOfTheIncarnation() {
      table.record(ENDPOINT, LEAVING);
      table.record(ENDPOINT, NOTHING);
      table.merge(Map.of(ENDPOINT, new VersionedAnnouncement(9, Announcement.NONE)));
      assertTrue(table.announcement(ENDPOINT).leaving());
      assertFalse(table.announcement("e1#6").leaving());
    }

    @Test
    void isRememberedWhileAnOlderListMayContainTheEndpoint() {
      table.record(ENDPOINT, LEAVING);
      table.retain(List.of());
      time.runUntil(AnnouncementTable.RETENTION_MILLIS - 1);
      table.retain(List.of());
      assertTrue(table.announcement(ENDPOINT).leaving());
      table.retain(List.of(ENDPOINT));
      time.runUntil(3 * AnnouncementTable.RETENTION_MILLIS);
      table.retain(List.of(ENDPOINT));
      assertTrue(table.announcement(ENDPOINT).leaving());
    }

    @Test
    void isForgottenOnceTheEndpointIsGone() {
      table.record(ENDPOINT, LEAVING);
      table.retain(List.of());
      time.runUntil(AnnouncementTable.RETENTION_MILLIS);
      table.retain(List.of());
      assertTrue(table.isEmpty());
    }
  }

  @Nested
  class Exchange {
    @Test
    void endsAtTheSameStateInAnyOrder() {
      List<Map<String, VersionedAnnouncement>> news = new ArrayList<>();
      AnnouncementTable source = new AnnouncementTable(time);
      for (ReceivedAnnouncement next : List.of(rate(3), LEAVING, rate(1), NOTHING, rate(4))) {
        source.record(ENDPOINT, next);
        news.add(source.recent(1_000, 10));
      }
      news.add(Map.of(ENDPOINT, new VersionedAnnouncement(5, new Announcement(2.5, false))));
      Announcement expected = new Announcement(2.5, true);
      Random random = new Random(1);
      for (int round = 0; round < 100; round++) {
        Collections.shuffle(news, random);
        AnnouncementTable other = new AnnouncementTable(time);
        news.forEach(other::merge);
        assertEquals(expected, other.announcement(ENDPOINT), news.toString());
      }
    }

    @Test
    void repeatsOnlyWhatIsInForce() {
      table.record(ENDPOINT, rate(3));
      table.record("e2", rate(3));
      table.record("e2", NOTHING);
      time.runUntil(5_000);
      assertTrue(table.touch());
      assertEquals(Set.of(ENDPOINT), table.recent(1_000, 10).keySet());
      table.record(ENDPOINT, NOTHING);
      assertFalse(table.touch());
    }

    @Test
    void sendsAgainWhatAnotherInstanceKnowsLess() {
      table.record(ENDPOINT, rate(3));
      table.record(ENDPOINT, rate(1));
      time.runUntil(5_000);
      assertTrue(table.recent(1_000, 10).isEmpty());
      assertTrue(
          table.refresh(
              Map.of(ENDPOINT, new VersionedAnnouncement(1, new Announcement(3, false)))));
      assertEquals(1, table.recent(1_000, 10).size());
    }
  }
}
