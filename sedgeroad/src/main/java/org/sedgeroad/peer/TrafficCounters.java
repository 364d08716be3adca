package org.sedgeroad.peer;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts frames and bytes by peer and message class. Thread-safe. */
final class TrafficCounters {
  private final Map<Key, Counter> counters = new ConcurrentHashMap<>();

  void sent(String peer, String messageClass, int bytes) {
    Counter counter = counter(peer, messageClass);
    counter.sentFrames.increment();
    counter.sentBytes.add(bytes);
  }

  void received(String peer, String messageClass, int bytes) {
    Counter counter = counter(peer, messageClass);
    counter.receivedFrames.increment();
    counter.receivedBytes.add(bytes);
  }

  void dropped(String peer, String messageClass) {
    counter(peer, messageClass).droppedFrames.increment();
  }

  List<PeerTraffic> read() {
    return counters.entrySet().stream()
        .map(
            entry ->
                new PeerTraffic(
                    entry.getKey().peer(),
                    entry.getKey().messageClass(),
                    entry.getValue().sentFrames.sum(),
                    entry.getValue().sentBytes.sum(),
                    entry.getValue().receivedFrames.sum(),
                    entry.getValue().receivedBytes.sum(),
                    entry.getValue().droppedFrames.sum()))
        .toList();
  }

  private Counter counter(String peer, String messageClass) {
    return counters.computeIfAbsent(new Key(peer, messageClass), key -> new Counter());
  }

  /** Identifies a set of counters. */
  private record Key(String peer, String messageClass) {}

  /** Counters of one peer and message class. */
  private static final class Counter {
    private final LongAdder sentFrames = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedFrames = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder droppedFrames = new LongAdder();
  }
}
