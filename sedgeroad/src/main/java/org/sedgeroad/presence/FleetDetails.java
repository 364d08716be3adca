package org.sedgeroad.presence;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.BinaryOperator;

/**
 * What one or several instances report beside their work at the endpoints. No component may be
 * null.
 *
 * @param confirmation youngest confirmation of the configuration that is known
 * @param historyMillis sum of the times for which the instances have counted the requests of
 *     workspaces, each at most the window of quotas, in milliseconds
 * @param completeHistories number of the instances that have counted for a whole window
 * @param workspaces live requests by the name of the workspace, without workspaces that have none
 * @param speeds observations of endpoints by the names of their incarnations
 */
public record FleetDetails(
    Confirmation confirmation,
    long historyMillis,
    int completeHistories,
    Map<String, WorkspaceLoad> workspaces,
    Map<String, SpeedSample> speeds) {
  /**
   * Largest number of incarnations in {@link #speeds}; with about 35 bytes each they take a third
   * of the largest datagram.
   */
  static final int MAXIMUM_SPEEDS = 600;

  /** Nothing to report. */
  public static final FleetDetails NONE =
      new FleetDetails(Confirmation.NONE, 0, 0, Map.of(), Map.of());

  /**
   * Copies the maps.
   *
   * @throws NullPointerException if a component is null
   */
  public FleetDetails {
    Objects.requireNonNull(confirmation);
    workspaces = Map.copyOf(workspaces);
    speeds = Map.copyOf(speeds);
  }

  /** Returns the sum of these details and those of other instances. */
  public FleetDetails plus(FleetDetails other) {
    return new FleetDetails(
        confirmation.younger(other.confirmation),
        historyMillis + other.historyMillis,
        completeHistories + other.completeHistories,
        merged(workspaces, other.workspaces, WorkspaceLoad::plus),
        bounded(merged(speeds, other.speeds, SpeedSample::plus)));
  }

  /**
   * Returns the first entries by name if there are too many, so that all hubs keep the same ones.
   */
  private static Map<String, SpeedSample> bounded(Map<String, SpeedSample> all) {
    if (all.size() <= MAXIMUM_SPEEDS) {
      return all;
    }
    Map<String, SpeedSample> first = new HashMap<>();
    all.keySet().stream()
        .sorted()
        .limit(MAXIMUM_SPEEDS)
        .forEach(name -> first.put(name, all.get(name)));
    return first;
  }

  /**
   * Returns these details without those of one instance that are a part of them. The confirmation
   * stays, because it is not a sum.
   */
  public FleetDetails minus(FleetDetails part) {
    return new FleetDetails(
        confirmation,
        Math.max(0, historyMillis - part.historyMillis),
        Math.max(0, completeHistories - part.completeHistories),
        reduced(workspaces, part.workspaces, WorkspaceLoad::minus),
        reduced(speeds, part.speeds, SpeedSample::minus));
  }

  /** Returns a copy with another confirmation. */
  public FleetDetails withConfirmation(Confirmation next) {
    return new FleetDetails(next, historyMillis, completeHistories, workspaces, speeds);
  }

  /** Returns a copy with other observations of endpoints. */
  public FleetDetails withSpeeds(Map<String, SpeedSample> next) {
    return new FleetDetails(confirmation, historyMillis, completeHistories, workspaces, next);
  }

  /**
   * Returns what stays in the sums after the instances have stopped to report: the requests that
   * they have sent.
   */
  FleetDetails retained() {
    return new FleetDetails(Confirmation.NONE, 0, 0, retained(workspaces, Map.of()), Map.of());
  }

  /**
   * Returns the requests in these details that are missing in later ones, in which fewer instances
   * are counted.
   */
  FleetDetails retainedBeyond(FleetDetails later) {
    return new FleetDetails(
        Confirmation.NONE, 0, 0, retained(workspaces, later.workspaces), Map.of());
  }

  private static Map<String, WorkspaceLoad> retained(
      Map<String, WorkspaceLoad> earlier, Map<String, WorkspaceLoad> later) {
    Map<String, WorkspaceLoad> result = new HashMap<>();
    earlier.forEach(
        (name, load) -> {
          int known = later.getOrDefault(name, WorkspaceLoad.NONE).sentByAll();
          if (load.sentByAll() > known) {
            result.put(name, new WorkspaceLoad(0, 0, 0, load.sentByAll() - known));
          }
        });
    return result;
  }

  private static <T> Map<String, T> merged(
      Map<String, T> left, Map<String, T> right, BinaryOperator<T> sum) {
    if (left.isEmpty() || right.isEmpty()) {
      return left.isEmpty() ? right : left;
    }
    Map<String, T> result = new HashMap<>(left);
    right.forEach((name, value) -> result.merge(name, value, sum));
    return result;
  }

  private static <T> Map<String, T> reduced(
      Map<String, T> all, Map<String, T> part, BinaryOperator<T> difference) {
    if (part.isEmpty()) {
      return all;
    }
    Map<String, T> result = new HashMap<>(all);
    part.forEach(
        (name, value) ->
            result.computeIfPresent(name, (key, total) -> difference.apply(total, value)));
    return result;
  }
}
