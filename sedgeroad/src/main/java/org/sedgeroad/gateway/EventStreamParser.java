package org.sedgeroad.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Splits a {@code text/event-stream} into complete events. Not thread-safe. */
public final class EventStreamParser {

  /**
   * One complete event.
   *
   * @param id value of its id field, empty if it has none
   * @param data its data lines, joined by line feeds
   * @param bytes the event as received, with the blank line that ends it
   */
  public record Event(String id, String data, byte[] bytes) {

    /**
     * Returns whether the event may come after another one: its id is higher if both ids are
     * numbers, and different otherwise. An event without an id may come after any.
     *
     * @param lastId id of the other event, empty if there is none
     */
    public boolean mayFollow(String lastId) {
      if (id.isEmpty() || lastId.isEmpty()) {
        return true;
      }
      return NUMBER.matcher(id).matches() && NUMBER.matcher(lastId).matches()
          ? Long.parseLong(id) > Long.parseLong(lastId)
          : !id.equals(lastId);
    }
  }

  private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

  /** Largest event that is accepted, in bytes. */
  public static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

  private Pending pending = new Pending();
  private boolean lineEmpty = true;
  private boolean eventSeen;

  /** Consumes all remaining bytes and returns the events that they complete. */
  public List<Event> accept(ByteBuffer bytes) {
    List<Event> events = new ArrayList<>();
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      pending.write(next);
      if (next == '\n') {
        if (lineEmpty) {
          Event event = parse(pending.toByteArray());
          eventSeen |= !event.id().isEmpty() || !event.data().isEmpty();
          events.add(event);
          pending.reset();
        }
        lineEmpty = true;
      } else if (next != '\r') {
        lineEmpty = false;
      }
    }
    return events;
  }

  /**
   * Returns whether the incomplete event is longer than {@link #MAXIMUM_EVENT_BYTES}, which no
   * sound endpoint sends.
   */
  public boolean isTooLong() {
    return pending.size() > MAXIMUM_EVENT_BYTES;
  }

  /** Returns the memory that the incomplete event takes, in bytes. */
  public int heldBytes() {
    return pending.capacity();
  }

  /** Discards the incomplete event and its memory, because the stream is given up. */
  public void discard() {
    pending = new Pending();
    lineEmpty = true;
  }

  /** Returns whether the stream has had a complete event with an id or data. */
  public boolean hasEvent() {
    return eventSeen;
  }

  /** Returns whether the stream has ended inside an event if it ends now. */
  public boolean isInsideEvent() {
    return pending.size() > 0;
  }

  /** Removes and returns the bytes of an incomplete event; empty if there are none. */
  public byte[] takeIncompleteEvent() {
    byte[] rest = pending.toByteArray();
    discard();
    return rest;
  }

  /** Bytes of an incomplete event, in an array that is larger than they are. */
  private static final class Pending extends ByteArrayOutputStream {
    int capacity() {
      return buf.length;
    }
  }

  private static Event parse(byte[] bytes) {
    String id = "";
    StringBuilder data = null;
    for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith("id:")) {
        id = value(line, 3);
      } else if (line.startsWith("data:")) {
        data = data == null ? new StringBuilder() : data.append('\n');
        data.append(value(line, 5));
      }
    }
    return new Event(id, data == null ? "" : data.toString(), bytes);
  }

  private static String value(String line, int start) {
    return line.startsWith(" ", start) ? line.substring(start + 1) : line.substring(start);
  }
}
