package org.sedgeroad.announcement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.exchange.ChangeTable;

/**
 * The announcements of endpoints by the names of their incarnations. Used on the event loop.
 *
 * <p>The table holds only endpoints that have announced something, so that it is empty while no
 * endpoint is limited or leaving.
 */
public final class AnnouncementTable implements ChangeTable<VersionedAnnouncement> {
  /** Maximum number of announcements in a message to other instances. */
  public static final int ANNOUNCEMENTS_IN_MESSAGE = 256;

  /** Time for which an endpoint that is not listed any more is remembered, in milliseconds. */
  static final long RETENTION_MILLIS = 60_000;

  private static final int MAXIMUM_ENTRIES = 8_192;

  /**
   * An announcement and the time of its last change, in nanoseconds.
   *
   * @param changedNanos monotonic time
   */
  private record Entry(VersionedAnnouncement announcement, long changedNanos) {}

  private final MonotonicClock clock;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Long> absentNanos = new HashMap<>();

  /** Creates an empty table; the clock must not be null. */
  public AnnouncementTable(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Returns whether no endpoint has announced anything. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns what an endpoint has announced, {@link Announcement#NONE} if nothing is known. */
  public Announcement announcement(String endpoint) {
    Entry entry = entries.get(endpoint);
    return entry == null ? Announcement.NONE : entry.announcement().announcement();
  }

  /** Returns the names of the endpoints whose last announcement states a rate. */
  public Set<String> limitedEndpoints() {
    Set<String> names = new HashSet<>();
    entries.forEach(
        (name, entry) -> {
          if (entry.announcement().announcement().isLimited()) {
            names.add(name);
          }
        });
    return names;
  }

  /**
   * Records what an endpoint announced in an answer; returns whether that is a change.
   *
   * @param endpoint name of the endpoint's incarnation
   * @param received what the answer announces, not null
   */
  public boolean record(String endpoint, ReceivedAnnouncement received) {
    return store(endpoint, known(endpoint).after(received));
  }

  /**
   * Forgets the endpoints that have not been among the given names for {@link #RETENTION_MILLIS}:
   * an older list of endpoints may still contain them.
   */
  public void retain(Collection<String> endpoints) {
    long now = clock.nanos();
    absentNanos.keySet().removeAll(endpoints);
    for (String name : entries.keySet()) {
      if (!endpoints.contains(name)) {
        absentNanos.putIfAbsent(name, now);
      }
    }
    absentNanos
        .entrySet()
        .removeIf(
            absent -> {
              boolean gone = now - absent.getValue() >= RETENTION_MILLIS * 1_000_000L;
              if (gone) {
                entries.remove(absent.getKey());
              }
              return gone;
            });
  }

  /**
   * Marks the announcements that are in force as changed, so that they are sent to other instances
   * again; returns whether there are any.
   */
  public boolean touch() {
    long now = clock.nanos();
    boolean any = false;
    for (Map.Entry<String, Entry> entry : entries.entrySet()) {
      VersionedAnnouncement announcement = entry.getValue().announcement();
      if (!announcement.announcement().equals(Announcement.NONE)) {
        entry.setValue(new Entry(announcement, now));
        any = true;
      }
    }
    return any;
  }

  @Override
  public Set<String> merge(Map<String, VersionedAnnouncement> received) {
    Set<String> changed = new HashSet<>();
    received.forEach(
        (endpoint, announcement) -> {
          if (store(endpoint, known(endpoint).merge(announcement))) {
            changed.add(endpoint);
          }
        });
    return changed;
  }

  @Override
  public boolean refresh(Map<String, VersionedAnnouncement> received) {
    boolean any = false;
    for (Map.Entry<String, VersionedAnnouncement> other : received.entrySet()) {
      VersionedAnnouncement own = known(other.getKey());
      if (!own.equals(other.getValue()) && own.merge(other.getValue()).equals(own)) {
        entries.put(other.getKey(), new Entry(own, clock.nanos()));
        any = true;
      }
    }
    return any;
  }

  @Override
  public Map<String, VersionedAnnouncement> recent(long millis, int limit) {
    long now = clock.nanos();
    Map<String, VersionedAnnouncement> recent = new HashMap<>();
    entries.entrySet().stream()
        .filter(entry -> now - entry.getValue().changedNanos() < millis * 1_000_000L)
        .sorted(
            (first, second) ->
                Long.signum(second.getValue().changedNanos() - first.getValue().changedNanos()))
        .limit(limit)
        .forEach(entry -> recent.put(entry.getKey(), entry.getValue().announcement()));
    return recent;
  }

  private VersionedAnnouncement known(String endpoint) {
    Entry entry = entries.get(endpoint);
    return entry == null ? VersionedAnnouncement.INITIAL : entry.announcement();
  }

  private boolean store(String endpoint, VersionedAnnouncement next) {
    boolean isNew = !entries.containsKey(endpoint);
    if (next.equals(known(endpoint)) || (isNew && entries.size() >= MAXIMUM_ENTRIES)) {
      return false;
    }
    entries.put(endpoint, new Entry(next, clock.nanos()));
    return true;
  }
}
