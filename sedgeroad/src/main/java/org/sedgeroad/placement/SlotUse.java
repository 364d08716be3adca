package org.sedgeroad.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sedgeroad.access.Workspace;
import org.sedgeroad.access.WorkspaceDirectory;
import org.sedgeroad.presence.WorkspaceLoad;

/**
 * Live slots that each workspace uses over all instances, as known at one time. Slots that are
 * assigned since then are added with {@link #assigned}. Requests without a workspace are one group
 * with an empty name.
 */
final class SlotUse {
  private final WorkspaceDirectory directory;
  private final Map<String, Integer> running;
  private final Map<String, Integer> waiting;

  /** Shares that were computed since the last slot was assigned to their workspace. */
  private final Map<Key, FairShare> shares = new HashMap<>();

  private record Key(String workspace, int priority) {}

  private SlotUse(
      WorkspaceDirectory directory, Map<String, Integer> running, Map<String, Integer> waiting) {
    this.directory = directory;
    this.running = running;
    this.waiting = waiting;
  }

  /** Returns the slots in use if the configuration has no workspaces. */
  static SlotUse none() {
    return new SlotUse(WorkspaceDirectory.NONE, new HashMap<>(), Map.of());
  }

  /**
   * Returns the slots in use.
   *
   * @param directory workspaces of the configuration in force
   * @param others live requests that the other instances report, by workspace
   * @param ownRunning live requests of this instance at endpoints, by workspace
   * @param ownWaiting waiting live requests of this instance, by workspace
   * @param live number of live requests of all instances at endpoints; those that are of no
   *     workspace belong to the group without one
   */
  static SlotUse of(
      WorkspaceDirectory directory,
      Map<String, WorkspaceLoad> others,
      Map<String, Integer> ownRunning,
      Map<String, Integer> ownWaiting,
      int live) {
    Map<String, Integer> running = new HashMap<>(ownRunning);
    Map<String, Integer> waiting = new HashMap<>(ownWaiting);
    others.forEach(
        (workspace, load) -> {
          running.merge(workspace, load.running(), Integer::sum);
          waiting.merge(workspace, load.waiting(), Integer::sum);
        });
    running.remove("");
    int known = running.values().stream().mapToInt(Integer::intValue).sum();
    running.put("", Math.max(0, live - known));
    return new SlotUse(directory, running, waiting);
  }

  /** Counts a slot that is assigned to a workspace. */
  void assigned(String workspace) {
    running.merge(workspace, 1, Integer::sum);
    shares.keySet().removeIf(key -> key.workspace().equals(workspace));
  }

  /** Returns the number of slots of a workspace for each unit of its weight. */
  double relativeUse(String workspace) {
    return running.getOrDefault(workspace, 0) / directory.weight(workspace);
  }

  int running(String workspace) {
    return running.getOrDefault(workspace, 0);
  }

  int waiting(String workspace) {
    return waiting.getOrDefault(workspace, 0);
  }

  /**
   * Returns the number of waiting requests of all instances that get slots before a request of a
   * workspace that arrives now: those of the same workspace, and of workspaces that use fewer slots
   * for their weight.
   *
   * @param workspace name of the workspace
   * @param priority priority of the request; workspaces of a lower priority come after it
   */
  int waitingBefore(String workspace, int priority) {
    double use = relativeUse(workspace);
    int before = waiting(workspace);
    for (Map.Entry<String, Integer> entry : waiting.entrySet()) {
      String other = entry.getKey();
      if (!other.equals(workspace) && competes(other, priority) && relativeUse(other) <= use) {
        before += entry.getValue();
      }
    }
    return before;
  }

  /**
   * Returns the use and the fair share of a workspace. The slots in use are divided by weight among
   * the workspaces that have requests, except those of a lower priority.
   *
   * @param workspace name of the workspace
   * @param priority priority of its request
   */
  FairShare share(String workspace, int priority) {
    return shares.computeIfAbsent(
        new Key(workspace, priority), key -> computeShare(workspace, priority));
  }

  private FairShare computeShare(String workspace, int priority) {
    Set<String> active = new HashSet<>(running.keySet());
    active.addAll(waiting.keySet());
    double weights = directory.weight(workspace);
    int slots = running(workspace);
    for (String other : active) {
      boolean hasRequests = running(other) + waiting(other) > 0;
      if (!other.equals(workspace) && hasRequests && competes(other, priority)) {
        weights += directory.weight(other);
        slots += running(other);
      }
    }
    return new FairShare(
        workspace,
        running(workspace),
        waiting(workspace),
        slots * directory.weight(workspace) / weights);
  }

  /** Returns whether the requests of a workspace may come before one with a priority. */
  private boolean competes(String workspace, int priority) {
    return directory
        .find(workspace)
        .map(Workspace::priority)
        .map(own -> own.orElse(priority) <= priority)
        .orElse(true);
  }
}
