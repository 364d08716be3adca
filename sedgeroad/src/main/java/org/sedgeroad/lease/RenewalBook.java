package org.sedgeroad.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Counters that this instance has sent or received and that its failure domain's lease object must
 * show. Thread-safe.
 */
public final class RenewalBook {
  /** A counter that has not changed for this long belongs to a run that has ended. */
  private static final long PRUNE_NANOS = 600_000_000_000L;

  /** More than one lease length of counters; older ones could not renew the lease any more. */
  private static final int UNCONFIRMED_LIMIT = 16;

  private final String holder;
  private final Map<String, Long> received = new HashMap<>();
  private final Map<String, Seen> seen = new HashMap<>();
  private final TreeMap<Long, Long> unconfirmed = new TreeMap<>();
  private long counter;
  private boolean left;

  /**
   * Creates a book.
   *
   * @param holder holder name of this instance
   */
  public RenewalBook(String holder) {
    this.holder = holder;
  }

  /** Returns the next counter of this instance, to be written from the given time on. */
  public synchronized long next(long nowNanos) {
    counter++;
    if (!left) {
      unconfirmed.put(counter, nowNanos);
      received.put(holder, counter);
    }
    if (unconfirmed.size() > UNCONFIRMED_LIMIT) {
      unconfirmed.pollFirstEntry();
    }
    return counter;
  }

  /** Records the counter of another instance. */
  public synchronized void received(String other, long value) {
    received.merge(other, value, Math::max);
  }

  /** Makes the next write give this instance's lease up. */
  public synchronized void leave() {
    left = true;
    unconfirmed.clear();
    received.put(holder, LeaseTable.LEFT);
  }

  // -----------------------------------------------------------------------

  /** Returns the time from which the lease counts that a stored counter proves. */
  public synchronized OptionalLong confirm(long stored) {
    Map.Entry<Long, Long> last = unconfirmed.floorEntry(stored);
    if (last == null) {
      return OptionalLong.empty();
    }
    unconfirmed.headMap(stored, true).clear();
    return OptionalLong.of(last.getValue());
  }

  /**
   * Returns how many half periods the oldest unconfirmed counter has waited, if this is called in
   * the second half of each period; 0 if there is none.
   */
  public synchronized int ticksUnconfirmed() {
    return unconfirmed.isEmpty() ? 0 : (int) (counter - unconfirmed.firstKey()) * 2 + 1;
  }

  /**
   * Returns the lease object's spec with all known counters; other fields are kept.
   *
   * @param stored the spec as stored, null if there is none
   * @param nowNanos monotonic time in nanoseconds
   */
  public synchronized ObjectNode merge(JsonNode stored, long nowNanos) {
    ObjectNode spec =
        stored == null ? JsonNodeFactory.instance.objectNode() : (ObjectNode) stored.deepCopy();
    Map<String, Long> holders = new TreeMap<>();
    spec.path("holders")
        .fields()
        .forEachRemaining(field -> holders.put(field.getKey(), field.getValue().asLong()));
    // A counter is kept until it is found stored, since this write may fail.
    received
        .entrySet()
        .removeIf(
            entry ->
                !entry.getKey().equals(holder)
                    && holders.getOrDefault(entry.getKey(), 0L) >= entry.getValue());
    received.forEach((name, value) -> holders.merge(name, value, RenewalBook::later));
    holders.entrySet().removeIf(entry -> isOld(entry.getKey(), entry.getValue(), nowNanos));
    seen.keySet().retainAll(holders.keySet());
    ObjectNode target = spec.putObject("holders");
    holders.forEach(target::put);
    return spec;
  }

  private static long later(long stored, long own) {
    return stored == LeaseTable.LEFT || own == LeaseTable.LEFT
        ? LeaseTable.LEFT
        : Math.max(stored, own);
  }

  private boolean isOld(String name, long value, long nowNanos) {
    Seen last = seen.get(name);
    if (last == null || last.counter() != value) {
      seen.put(name, new Seen(value, nowNanos));
      return false;
    }
    return !name.equals(holder) && nowNanos - last.sinceNanos() >= PRUNE_NANOS;
  }

  /** A counter with the time since when it has not changed. */
  private record Seen(long counter, long sinceNanos) {}
}
