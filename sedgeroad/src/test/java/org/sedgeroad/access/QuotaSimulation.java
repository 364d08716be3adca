package org.sedgeroad.access;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import org.sedgeroad.placement.VirtualTime;
import org.sedgeroad.settings.QuotaSettings;

/**
 * Requests of one workspace at many instances in virtual time, whose quota a scheme keeps. A
 * limiter that knows everything decides which of the requests the workspace is entitled to.
 */
final class QuotaSimulation {
  static final long WINDOW_MILLIS = 5_000;
  static final QuotaSettings SETTINGS = new QuotaSettings(WINDOW_MILLIS, 0.1, 20);

  /** A third of the time that a client has left: the longest wait that it honours. */
  private static final double LONGEST_WAIT_MILLIS = 1_685;

  /** Keeps the quota of the workspace. */
  interface Scheme {
    /** Decides on a request that arrives at an instance, now or later. */
    void take(int instance, Consumer<Boolean> decision);

    /** Returns the time after which a client that was refused now may return. */
    double retryMillis(int instance);

    /** Replaces the process of an instance. */
    void restart(int instance);

    /** Returns the messages between instances that are due to quotas, so far. */
    long messages();

    /** Returns the calls to the store that are due to quotas, so far. */
    long storeCalls();
  }

  /** Results of a run; shares are of the requests that the workspace was entitled to. */
  record Result(int most, double refused, double unused, double returned) {}

  final VirtualTime time = new VirtualTime();
  final Random random = new Random(1);
  final int instances;
  final int domains;
  final Map<Integer, Boolean> frozen = new HashMap<>();
  BiPredicate<Integer, Integer> cut = (from, to) -> false;
  DoubleUnaryOperator demand = millis -> 0;
  DoubleUnaryOperator place = millis -> random.nextDouble();
  Workspace workspace;
  Scheme scheme;
  private final List<Double> sends = new ArrayList<>();
  private final List<Double> idealSends = new ArrayList<>();
  private final List<Integer> sentAt = new ArrayList<>();
  private int entitled;
  private int refusedEntitled;
  private int returned;
  private int returnedServed;
  private double epoch;

  QuotaSimulation(int instances, double rate) {
    this.instances = instances;
    this.domains = instances < 20 ? 3 : 6;
    limit(rate);
  }

  void limit(double rate) {
    workspace = new Workspace("hot", OptionalInt.empty(), rate, rate);
  }

  int domain(int instance) {
    return instance % domains;
  }

  double now() {
    return time.nanos() / 1e6;
  }

  /** Begins the arrivals, after the instances have counted for a window. */
  void begin() {
    run(WINDOW_MILLIS + 2_000);
    epoch = now();
    next();
  }

  double sinceBegin() {
    return now() - epoch;
  }

  void run(double millis) {
    time.runUntil(now() + millis);
  }

  private void next() {
    double rate = Math.max(0.01, demand.applyAsDouble(sinceBegin()));
    double pause = Math.min(50, -Math.log(1 - random.nextDouble()) / rate * 1_000);
    // Without a request in the next 50 ms, the rate is looked up again.
    boolean arrives = pause < 50;
    time.after(
        pause,
        () -> {
          if (arrives) {
            arrive(instanceAt(sinceBegin()), true);
          }
          next();
        });
  }

  private int instanceAt(double millis) {
    return Math.min(instances - 1, (int) (place.applyAsDouble(millis) * instances));
  }

  private void arrive(int instance, boolean first) {
    if (frozen.getOrDefault(instance, false)) {
      return;
    }
    boolean ideal = first && takeIdeal();
    if (ideal) {
      entitled++;
    }
    if (!first) {
      returned++;
    }
    scheme.take(
        instance,
        taken -> {
          if (taken) {
            sends.add(now());
            sentAt.add(instance);
            returnedServed += first ? 0 : 1;
          } else {
            refusedEntitled += ideal ? 1 : 0;
            double wait = scheme.retryMillis(instance);
            if (first && wait <= LONGEST_WAIT_MILLIS) {
              time.after(wait, () -> arrive(instanceAt(sinceBegin()), false));
            }
          }
        });
  }

  private boolean takeIdeal() {
    double total = QuotaBudget.total(workspace, WINDOW_MILLIS);
    boolean room =
        idealSends.size() < total
            || now() - idealSends.get(idealSends.size() - (int) total) >= WINDOW_MILLIS;
    if (room) {
      idealSends.add(now());
    }
    return room;
  }

  /** Returns the most requests sent in a window that begins after a time since the begin. */
  int most(double afterMillis) {
    List<Double> times = sends.stream().filter(at -> at - epoch >= afterMillis).toList();
    int most = 0;
    int begin = 0;
    for (int index = 0; index < times.size(); index++) {
      while (times.get(index) - times.get(begin) >= WINDOW_MILLIS) {
        begin++;
      }
      most = Math.max(most, index - begin + 1);
    }
    return most;
  }

  int sent(double fromMillis, double toMillis) {
    return count(sends, fromMillis, toMillis);
  }

  private int count(List<Double> times, double fromMillis, double toMillis) {
    return (int)
        times.stream().filter(at -> at - epoch >= fromMillis && at - epoch < toMillis).count();
  }

  int sentBy(int instance) {
    return (int) sentAt.stream().filter(at -> at == instance).count();
  }

  /** Returns the most that may be sent in any window. */
  static double bound(Workspace workspace) {
    return QuotaBudget.total(workspace, WINDOW_MILLIS) * (1 + SETTINGS.tolerance())
        + SETTINGS.toleratedRequests();
  }

  Result result() {
    int used = 0;
    int possible = 0;
    for (double from = 0; from < sinceBegin(); from += WINDOW_MILLIS) {
      int ideal = count(idealSends, from, from + WINDOW_MILLIS);
      used += Math.min(ideal, sent(from, from + WINDOW_MILLIS));
      possible += ideal;
    }
    return new Result(
        most(0),
        entitled == 0 ? 0 : (double) refusedEntitled / entitled,
        possible == 0 ? 0 : 1 - (double) used / possible,
        returned == 0 ? 1 : (double) returnedServed / returned);
  }
}
