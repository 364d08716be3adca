package org.sedgeroad.announcement;

import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.exchange.ChangeExchange;
import org.sedgeroad.metric.GatewayMetrics;

/**
 * Receives the announcements in the answers to this instance and tells the other instances about
 * changes. Used on the event loop.
 */
public final class EndpointAnnouncements {
  /**
   * Shortest time between two log lines about announcements that are not valid, in milliseconds.
   */
  private static final long INVALID_LOG_MILLIS = 1_000;

  private final AnnouncementTable table;
  private final ChangeExchange<VersionedAnnouncement> exchange;
  private final GatewayMetrics metrics;
  private final MonotonicClock clock;
  private final EventLog log;
  private long nextInvalidLogNanos;

  /** Creates a receiver; no argument may be null. */
  public EndpointAnnouncements(
      AnnouncementTable table,
      ChangeExchange<VersionedAnnouncement> exchange,
      GatewayMetrics metrics,
      MonotonicClock clock,
      EventLog log) {
    this.table = table;
    this.exchange = exchange;
    this.metrics = metrics;
    this.clock = clock;
    this.log = log;
    this.nextInvalidLogNanos = clock.nanos();
  }

  /**
   * Records an answer of an endpoint.
   *
   * @param endpoint name of the endpoint's incarnation
   * @param received what the answer announces, not null
   */
  public void record(String endpoint, ReceivedAnnouncement received) {
    if (received.invalidHeaders() > 0) {
      recordInvalid(endpoint, received.invalidHeaders());
    }
    if (table.record(endpoint, received)) {
      announce(endpoint, table.announcement(endpoint));
    }
  }

  /** Sends all announcements to the other instances again, some of which may have missed them. */
  public void repeat() {
    if (table.touch()) {
      exchange.changed();
    }
  }

  private void announce(String endpoint, Announcement announced) {
    exchange.changed();
    log.log(
        LogEvent.ENDPOINT_ANNOUNCED,
        EventField.of("endpoint", endpoint),
        EventField.of("requests_per_second", announced.requestsPerSecond()),
        EventField.of("leaving", announced.leaving()));
  }

  private void recordInvalid(String endpoint, int headers) {
    metrics.recordInvalidAnnouncements(headers);
    if (clock.hasPassed(nextInvalidLogNanos)) {
      nextInvalidLogNanos = clock.deadlineAfterMillis(INVALID_LOG_MILLIS);
      log.log(LogEvent.ANNOUNCEMENT_INVALID, EventField.of("endpoint", endpoint));
    }
  }
}
