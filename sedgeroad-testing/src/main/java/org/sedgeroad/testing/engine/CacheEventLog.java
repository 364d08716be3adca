package org.sedgeroad.testing.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.testing.http.Answers;

/**
 * Log of the prefix cache's events as other processes see them: delayed by a lag, with random gaps,
 * and limited to the most recent events. Thread-safe.
 */
final class CacheEventLog {
  private static final int MAX_EVENTS = 10_000;

  private record Event(
      long sequence, String type, String requestId, List<Long> blocks, long publishedNanos) {}

  private final Deque<Event> events = new ArrayDeque<>();
  private final MonotonicClock clock;
  private final Random random;
  private final long lagNanos;
  private final double gapProbability;
  private long sequence;

  CacheEventLog(EngineOptions options, MonotonicClock clock) {
    this.clock = clock;
    this.random = new Random(options.seed());
    this.lagNanos = options.reportLagMillis() * 1_000_000L;
    this.gapProbability = options.eventGapProbability();
  }

  /**
   * Publishes an event. Has no effect if the list of blocks is empty. An event that is dropped to
   * create a gap still consumes a sequence number.
   */
  synchronized void publish(String type, String requestId, List<Long> blocks) {
    if (blocks.isEmpty()) {
      return;
    }
    sequence++;
    if (random.nextDouble() >= gapProbability) {
      events.add(new Event(sequence, type, requestId, List.copyOf(blocks), clock.nanos()));
    }
    if (events.size() > MAX_EVENTS) {
      events.remove();
    }
  }

  /**
   * Returns the events with a higher sequence number that were published at least the lag ago, and
   * the sequence number to pass to the next call.
   */
  synchronized ObjectNode since(long afterSequence) {
    ObjectNode root = Answers.MAPPER.createObjectNode();
    ArrayNode list = root.putArray("events");
    long visibleUntilNanos = clock.nanos() - lagNanos;
    long next = afterSequence;
    for (Event event : events) {
      if (event.sequence() > afterSequence && visibleUntilNanos - event.publishedNanos() >= 0) {
        ObjectNode node = list.addObject();
        node.put("sequence", event.sequence()).put("type", event.type());
        if (!event.requestId().isEmpty()) {
          node.put("request_id", event.requestId());
        }
        ArrayNode blocks = node.putArray("blocks");
        event.blocks().forEach(block -> blocks.add(AnswerText.toHex(block)));
        next = event.sequence();
      }
    }
    return root.put("next", next);
  }
}
