package org.sedgeroad.testing.platform;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sedgeroad.Endpoint;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.testing.LaggedValue;

/** The instance list, whose changes become visible after a lag. Thread-safe. */
final class InstanceTable {

  /**
   * The list after a change.
   *
   * @param version number of changes so far, 0 for the empty list at the start
   * @param instances the instances in order of their names
   */
  record Snapshot(long version, List<Endpoint> instances) {}

  private final Map<String, Endpoint> current = new TreeMap<>();
  private final LaggedValue<Snapshot> snapshots;

  InstanceTable(MonotonicClock clock, long lagMillis) {
    snapshots = new LaggedValue<>(new Snapshot(0, List.of()), lagMillis, clock);
  }

  void setLagMillis(long lagMillis) {
    snapshots.setLagMillis(lagMillis);
  }

  synchronized void change(Collection<Endpoint> added, Collection<String> removed) {
    added.forEach(endpoint -> current.put(endpoint.name(), endpoint));
    removed.forEach(current::remove);
    long version = snapshots.latest().version() + 1;
    snapshots.set(new Snapshot(version, List.copyOf(current.values())));
  }

  /** Returns the latest list whose lag has passed. */
  Snapshot shown() {
    return snapshots.visible();
  }
}
