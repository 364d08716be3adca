package org.sedgeroad.testing.engine;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The most recent events of an engine, in order. Thread-safe. */
final class EngineHistory {
  /** Takes about 200 MB of heap; a soak test that needs more events reads the history in parts. */
  private static final int MAX_EVENTS = 1_000_000;

  private final Deque<EngineEvent> events = new ArrayDeque<>();
  private long nextIndex;

  /** Adds an event of a request that was rejected before it became a run. */
  void add(EngineEvent.Type type, GenerationRequest request) {
    add(type, request, AnswerText.fingerprint(request.prompt()), 0, 0);
  }

  /** Adds an event of a run. */
  void add(EngineEvent.Type type, Run run) {
    add(type, run.request, run.fingerprint, run.queueWaitMicros, run.produced);
  }

  private synchronized void add(
      EngineEvent.Type type,
      GenerationRequest request,
      long fingerprint,
      long queueWaitMicros,
      int tokens) {
    events.add(
        new EngineEvent(
            nextIndex++,
            type,
            request.requestId(),
            request.serviceClass(),
            fingerprint,
            queueWaitMicros,
            tokens,
            Instant.now()));
    trim();
  }

  synchronized void addCrash() {
    events.add(
        new EngineEvent(nextIndex++, EngineEvent.Type.CRASH, "", "", 0, 0, 0, Instant.now()));
    trim();
  }

  /** Returns the events from an index on, as far as they are still held. */
  synchronized List<EngineEvent> from(long index) {
    return events.stream().skip(Math.max(0, index - (nextIndex - events.size()))).toList();
  }

  private void trim() {
    if (events.size() > MAX_EVENTS) {
      events.remove();
    }
  }
}
