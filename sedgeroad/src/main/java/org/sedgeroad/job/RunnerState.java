package org.sedgeroad.job;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.peer.Rendezvous;
import org.sedgeroad.route.EndpointView;

/** What the parts of a runner share. Used by the runner's thread only. */
final class RunnerState {
  private final Map<SegmentKey, HeldSegment> held = new LinkedHashMap<>();
  private final JobRunnerParts parts;
  private final ClaimPlanner planner;
  private boolean stopping;

  RunnerState(JobRunnerParts parts) {
    this.parts = parts;
    this.planner = new ClaimPlanner(parts.instance());
  }

  JobRunnerParts parts() {
    return parts;
  }

  ClaimPlanner planner() {
    return planner;
  }

  long now() {
    return parts.clock().nanos();
  }

  boolean isStopping() {
    return stopping;
  }

  void stop() {
    stopping = true;
  }

  // -----------------------------------------------------------------------

  Collection<HeldSegment> held() {
    return List.copyOf(held.values());
  }

  boolean holds(HeldSegment segment) {
    return held.get(segment.key()) == segment;
  }

  boolean holds(SegmentKey key) {
    return held.containsKey(key);
  }

  void add(HeldSegment segment) {
    held.put(segment.key(), segment);
  }

  /** Stops all work on a segment and forgets it. */
  void drop(HeldSegment segment) {
    segment.cancel();
    held.remove(segment.key(), segment);
  }

  /** Returns the endpoints in use whose home is this instance. */
  List<EndpointView> homeEndpoints() {
    List<String> live = parts.membership().liveInstances();
    return parts.endpoints().usableEndpoints().stream()
        .filter(view -> view.endpoint().domain().equals(parts.domain()))
        .filter(view -> Rendezvous.isFirst(view.endpoint().name(), parts.instance(), live))
        .toList();
  }
}
