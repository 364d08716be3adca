package org.sedgeroad.access;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.Consumer;

/** Small models of two other ways to keep a quota. */
final class QuotaAlternatives {
  private static final double NETWORK_MILLIS = 12;
  private static final double STORE_MILLIS = 20;

  private QuotaAlternatives() {}

  /** Counts messages and store calls; a client returns after a second at random. */
  private abstract static class Model implements QuotaSimulation.Scheme {
    final QuotaSimulation simulation;
    long messages;
    long storeCalls;

    Model(QuotaSimulation simulation) {
      this.simulation = simulation;
    }

    double total() {
      return QuotaBudget.total(simulation.workspace, QuotaSimulation.WINDOW_MILLIS);
    }

    @Override
    public double retryMillis(int instance) {
      return 200 + 1_000 * simulation.random.nextDouble();
    }

    @Override
    public void restart(int instance) {
      throw new UnsupportedOperationException("not modelled");
    }

    @Override
    public long messages() {
      return messages;
    }

    @Override
    public long storeCalls() {
      return storeCalls;
    }
  }

  /**
   * An owner in each failure domain grants each request from the domain's share; every 2 s the
   * owners move shares to where the demand is, through the store. A share is raised one period
   * after others were lowered.
   */
  static final class OwnersWithShares extends Model {
    private static final double PERIOD_MILLIS = 2_000;
    private final double[] shares;
    private final double[] next;
    private final int[] asked;
    private final Deque<Double>[] sends;

    @SuppressWarnings("unchecked")
    OwnersWithShares(QuotaSimulation simulation) {
      super(simulation);
      shares = new double[simulation.domains];
      next = new double[simulation.domains];
      asked = new int[simulation.domains];
      sends = new Deque[simulation.domains];
      Arrays.fill(shares, 1.0 / simulation.domains);
      Arrays.fill(next, 1.0 / simulation.domains);
      Arrays.setAll(sends, domain -> new ArrayDeque<>());
      simulation.time.after(PERIOD_MILLIS, this::plan);
    }

    private void plan() {
      simulation.time.after(PERIOD_MILLIS, this::plan);
      // Each owner reads the shares and writes its demand.
      storeCalls += 2L * simulation.domains;
      double all = Arrays.stream(asked).sum() + simulation.domains;
      for (int domain = 0; domain < simulation.domains; domain++) {
        double wanted = (asked[domain] + 1) / all;
        shares[domain] = Math.min(next[domain], wanted);
        next[domain] = wanted;
        asked[domain] = 0;
      }
    }

    @Override
    public void take(int instance, Consumer<Boolean> decision) {
      messages += 2;
      int domain = simulation.domain(instance);
      simulation.time.after(
          2 * NETWORK_MILLIS,
          () -> {
            asked[domain]++;
            Deque<Double> times = sends[domain];
            while (!times.isEmpty()
                && simulation.now() - times.peekFirst() >= QuotaSimulation.WINDOW_MILLIS) {
              times.removeFirst();
            }
            boolean granted = times.size() + 1 <= shares[domain] * total();
            if (granted) {
              times.addLast(simulation.now());
            }
            decision.accept(granted);
          });
    }
  }

  /**
   * An instance leases tokens from one object of the store, a twentieth of the quota or one at a
   * time, and may use them for half a second; a token counts for a window after its lease ends.
   */
  static final class StoreLeases extends Model {
    private static final double LEASE_MILLIS = 500;
    private final int[] tokens;
    private final double[] until;
    private final boolean[] asking;
    private final Deque<double[]> leases = new ArrayDeque<>();

    StoreLeases(QuotaSimulation simulation) {
      super(simulation);
      tokens = new int[simulation.instances];
      until = new double[simulation.instances];
      asking = new boolean[simulation.instances];
    }

    @Override
    public void take(int instance, Consumer<Boolean> decision) {
      if (simulation.now() < until[instance] && tokens[instance] > 0) {
        tokens[instance]--;
        decision.accept(true);
      } else if (asking[instance]) {
        simulation.time.after(STORE_MILLIS, () -> take(instance, decision));
      } else {
        asking[instance] = true;
        // A read and a conditional update.
        storeCalls += 2;
        simulation.time.after(2 * STORE_MILLIS, () -> lease(instance, decision));
      }
    }

    private void lease(int instance, Consumer<Boolean> decision) {
      asking[instance] = false;
      double now = simulation.now();
      leases.removeIf(lease -> now - lease[0] >= QuotaSimulation.WINDOW_MILLIS + LEASE_MILLIS);
      double leased = leases.stream().mapToDouble(lease -> lease[1]).sum();
      int granted = (int) Math.min(Math.max(1, total() / 20), total() - leased);
      if (granted <= 0) {
        decision.accept(false);
        return;
      }
      leases.addLast(new double[] {now, granted});
      tokens[instance] = granted - 1;
      until[instance] = now + LEASE_MILLIS;
      decision.accept(true);
    }
  }
}
