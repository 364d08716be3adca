package org.sedgeroad.testing.engine;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The recent events of an engine in order. Thread-safe. */
final class EngineHistory {
  /** About 200 MB of heap; a soak that needs more reads the history in parts. */
  private static final int MAX_EVENTS = 1_000_000;

  private final Deque<EngineEvent> events = new ArrayDeque<>();
  private long next;

  synchronized void add(
      EngineEvent.Type type, GenerationRequest request, long queueWaitMicros, int tokens) {
    events.add(
        new EngineEvent(
            next++,
            type,
            request.requestId(),
            request.serviceClass(),
            AnswerText.fingerprint(request.prompt()),
            queueWaitMicros,
            tokens,
            Instant.now()));
    trim();
  }

  synchronized void addCrash() {
    events.add(new EngineEvent(next++, EngineEvent.Type.CRASH, "", "", 0, 0, 0, Instant.now()));
    trim();
  }

  /** Returns the events from an index on. */
  synchronized List<EngineEvent> from(long index) {
    return events.stream().filter(event -> event.index() >= index).toList();
  }

  private void trim() {
    if (events.size() > MAX_EVENTS) {
      events.remove();
    }
  }
}
