package org.sedgeroad.job;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.route.EndpointView;

/** State shared by the classes that make up a job runner. Used by the runner's thread only. */
final class RunnerState {
  private final Map<SegmentKey, HeldSegment> heldSegments = new LinkedHashMap<>();
  private final JobRunnerDependencies dependencies;
  private final ClaimPlanner planner;
  private boolean stopping;

  RunnerState(JobRunnerDependencies dependencies) {
    this.dependencies = dependencies;
    this.planner = new ClaimPlanner(dependencies.instance());
  }

  JobRunnerDependencies dependencies() {
    return dependencies;
  }

  ClaimPlanner planner() {
    return planner;
  }

  long now() {
    return dependencies.clock().nanos();
  }

  boolean isStopping() {
    return stopping;
  }

  void markStopping() {
    stopping = true;
  }

  Collection<HeldSegment> heldSegments() {
    return List.copyOf(heldSegments.values());
  }

  boolean holds(HeldSegment segment) {
    return heldSegments.get(segment.key()) == segment;
  }

  boolean holds(SegmentKey key) {
    return heldSegments.containsKey(key);
  }

  void add(HeldSegment segment) {
    heldSegments.put(segment.key(), segment);
  }

  /** Stops all work on a segment and removes it from the held segments. */
  void drop(HeldSegment segment) {
    segment.cancel();
    heldSegments.remove(segment.key(), segment);
  }

  /**
   * Returns the usable endpoints that this instance owns. Rendezvous hashing assigns each endpoint
   * of the failure domain to one of the instances that the membership considers live.
   */
  List<EndpointView> ownedEndpoints() {
    List<String> liveInstances = dependencies.membership().liveInstances();
    return dependencies.endpoints().usableEndpoints().stream()
        .filter(view -> view.endpoint().domain().equals(dependencies.domain()))
        .filter(
            view ->
                RendezvousHashing.ranksFirst(
                    view.endpoint().name(), dependencies.instance(), liveInstances))
        .toList();
  }
}
