package org.sedgeroad.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.BiConsumer;
import org.sedgeroad.access.Workspace;
import org.sedgeroad.access.WorkspaceDirectory;
import org.sedgeroad.gateway.Refusal;
import org.sedgeroad.presence.Confirmation;
import org.sedgeroad.presence.FleetDetails;
import org.sedgeroad.presence.WorkspaceLoad;

/**
 * Live requests of workspaces with Zipf-distributed rates, of which the largest sends more than
 * usual for 7 s at a time. Counts what becomes of the requests that were sent in these times.
 */
final class WorkspaceTraffic {
  /** Requests without a workspace. */
  static final WorkspaceTraffic NONE = new WorkspaceTraffic(0, 1, 1, false);

  private static final double FIRST_BURST_MILLIS = 8_000;
  private static final double BURST_MILLIS = 7_000;

  /** Differs from whole periods of the load, so that bursts begin in peaks and between them. */
  private static final double BURST_PERIOD_MILLIS = 14_900;

  private final double[] shares;
  private final double burstFactor;
  private final double othersFactor;
  private final boolean shared;
  private final WorkspaceDirectory directory;
  private final Map<String, Counts> counts = new HashMap<>();
  int returned;
  int returnedServed;
  int refusals;

  /** What became of the requests of a workspace. */
  static final class Counts {
    int sent;
    int served;
    int onTime;

    double servedFraction() {
      return served / Math.max(1.0, sent);
    }
  }

  /** A request with the workspace that sent it. */
  static final class Request {
    final String workspace;
    final double arrivedMillis;
    boolean hasReturned;

    private Request(String workspace, double arrivedMillis) {
      this.workspace = workspace;
      this.arrivedMillis = arrivedMillis;
    }
  }

  /**
   * Creates the requests of a number of workspaces.
   *
   * @param workspaces number of workspaces
   * @param burstFactor rate of the largest workspace in a burst, relative to its usual rate
   * @param othersFactor rate of the other workspaces, relative to their usual rates
   * @param shared whether slots are shared among the workspaces
   */
  WorkspaceTraffic(int workspaces, double burstFactor, double othersFactor, boolean shared) {
    this.burstFactor = burstFactor;
    this.othersFactor = othersFactor;
    this.shared = shared;
    this.shares = new double[workspaces];
    double sum = 0;
    for (int number = 0; number < workspaces; number++) {
      shares[number] = 1.0 / (number + 1);
      sum += shares[number];
    }
    WorkspaceDirectory.Builder builder = new WorkspaceDirectory.Builder();
    for (int number = 0; number < workspaces; number++) {
      shares[number] /= sum;
      builder.add(new Workspace(name(number), OptionalInt.empty(), shares[number] * 100, 0));
    }
    this.directory = shared ? builder.build() : WorkspaceDirectory.NONE;
  }

  static String name(int number) {
    return "workspace-" + number;
  }

  WorkspaceDirectory directory() {
    return directory;
  }

  private static boolean isBurst(double millis) {
    double sinceFirst = millis - FIRST_BURST_MILLIS;
    return sinceFirst >= 0 && sinceFirst % BURST_PERIOD_MILLIS < BURST_MILLIS;
  }

  private double rate(int number, double millis) {
    return shares[number] * (number > 0 ? othersFactor : isBurst(millis) ? burstFactor : 1);
  }

  /** Returns the rate of all workspaces at a time, relative to the usual one. */
  double rate(double millis) {
    double sum = shares.length == 0 ? 1 : 0;
    for (int number = 0; number < shares.length; number++) {
      sum += rate(number, millis);
    }
    return sum;
  }

  /** Returns a request that is sent at a time. */
  Request next(double millis, Random random) {
    if (shares.length == 0) {
      return new Request("", millis);
    }
    double left = random.nextDouble() * rate(millis);
    int number = 0;
    while (number < shares.length - 1 && left >= rate(number, millis)) {
      left -= rate(number, millis);
      number++;
    }
    Request request = new Request(name(number), millis);
    if (isBurst(millis)) {
      counts(request.workspace).sent++;
    }
    return request;
  }

  Counts counts(String workspace) {
    return counts.computeIfAbsent(workspace, name -> new Counts());
  }

  /** Returns the counts of each workspace. */
  Collection<Counts> each() {
    return counts.values();
  }

  /** Returns the sums of all workspaces except the largest. */
  Counts others() {
    Counts sum = new Counts();
    counts.forEach((name, each) -> add(sum, each, !name.equals(name(0))));
    return sum;
  }

  /** Returns the sums of all workspaces. */
  Counts all() {
    Counts sum = new Counts();
    counts.forEach((name, each) -> add(sum, each, true));
    return sum;
  }

  private static void add(Counts sum, Counts each, boolean counted) {
    sum.sent += counted ? each.sent : 0;
    sum.served += counted ? each.served : 0;
    sum.onTime += counted ? each.onTime : 0;
  }

  /** Records that a request has started at an endpoint. */
  void started(Request request, boolean onTime) {
    returnedServed += request.hasReturned ? 1 : 0;
    if (isBurst(request.arrivedMillis)) {
      counts(request.workspace).served++;
      counts(request.workspace).onTime += onTime ? 1 : 0;
    }
  }

  /**
   * Handles a refusal. The client returns once, after at most a third of the time that it has left.
   *
   * @param leftMillis time until the deadline of the request
   * @param onReturn receives the time after which the client returns, in milliseconds
   */
  void refused(
      Request request,
      Refusal refusal,
      double nowMillis,
      double leftMillis,
      BiConsumer<Double, Request> onReturn) {
    refusals++;
    if (!request.hasReturned) {
      request.hasReturned = true;
      returned++;
      onReturn.accept(Math.min(leftMillis / 3, refusal.retryAtNanos() / 1e6 - nowMillis), request);
    }
  }

  /** Returns what an instance reports of its workspaces. */
  FleetDetails details(Map<String, Integer> running, Map<String, Integer> waiting) {
    if (!shared) {
      return FleetDetails.NONE;
    }
    Map<String, WorkspaceLoad> loads = new HashMap<>();
    running.forEach((name, count) -> loads.put(name, new WorkspaceLoad(0, count, 0)));
    waiting.forEach(
        (name, count) -> loads.merge(name, new WorkspaceLoad(0, 0, count), WorkspaceLoad::plus));
    return new FleetDetails(Confirmation.NONE, 0, 0, loads, Map.of());
  }
}
