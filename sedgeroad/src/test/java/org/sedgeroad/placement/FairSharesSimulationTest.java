package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.placement.WorkspaceTraffic.Counts;

/**
 * Guards against a workspace that takes the slots of others, and against one that is kept from
 * slots which nobody else needs. 18 instances share 30 engines; live requests of 80 workspaces take
 * 44% of the slots on average and 81% in a peak. The largest workspace sends a fifth of the
 * requests, and more than usual in three bursts of 7 s. Figures are means of the seeds 1 and 2, of
 * 33 s each, of the requests that are sent in the three bursts.
 */
class FairSharesSimulationTest {
  private static final PeakLoad LOAD =
      new PeakLoad(
          PeakLoad.Exchange.HUBS, 6, 18, 30, 146, 0.377, 1.84, 720, 1.8, 4_900, 18_000, 0, 0, 0);

  private static final int SEEDS = 2;

  /** Number of requests of a workspace from which its fraction says something. */
  private static final int MINIMUM_SENT = 8;

  /**
   * What became of the requests.
   *
   * @param othersOnTime fraction on time of the requests of all workspaces but the largest
   * @param largestServed number of served requests of the largest workspace
   * @param served fraction of all requests that were served
   * @param leastServed the same for the workspace that was served least
   * @param returnedServed fraction served of the requests that returned after a refusal
   * @param refusals number of refusals
   * @param utilization fraction of the slots that were used
   */
  private record Outcome(
      double othersOnTime,
      double largestServed,
      double served,
      double leastServed,
      double returnedServed,
      double refusals,
      double utilization) {

    static Outcome of(double burst, double others, boolean shared) {
      double[] sums = new double[7];
      for (int seed = 1; seed <= SEEDS; seed++) {
        WorkspaceTraffic traffic = new WorkspaceTraffic(80, burst, others, shared);
        double utilization = new PeakLoadSimulation(LOAD, traffic, seed).run(50).utilization();
        sums[0] += traffic.others().onTime / Math.max(1.0, traffic.others().sent);
        sums[1] += traffic.counts(WorkspaceTraffic.name(0)).served;
        sums[2] += traffic.all().servedFraction();
        sums[3] +=
            traffic.each().stream()
                .filter(counts -> counts.sent >= MINIMUM_SENT)
                .mapToDouble(Counts::servedFraction)
                .min()
                .orElse(0);
        sums[4] += traffic.returnedServed / Math.max(1.0, traffic.returned);
        sums[5] += traffic.refusals;
        sums[6] += utilization;
      }
      return new Outcome(
          sums[0] / SEEDS,
          sums[1] / SEEDS,
          sums[2] / SEEDS,
          sums[3] / SEEDS,
          sums[4] / SEEDS,
          sums[5] / SEEDS,
          sums[6] / SEEDS);
    }
  }

  private static String text(Object... outcomes) {
    StringBuilder text = new StringBuilder();
    for (Object outcome : outcomes) {
      text.append(String.format(Locale.ROOT, "%n%s", outcome));
    }
    return text.toString();
  }

  @Nested
  class OneWorkspaceAtSixTimesItsUsualRate {
    @Test
    void delaysTheOthersLittleAndIsServedWhenItsClientsReturn() {
      Outcome usual = Outcome.of(1, 1, true);
      Outcome unshared = Outcome.of(6, 1, false);
      Outcome shared = Outcome.of(6, 1, true);
      String text = text(usual, unshared, shared);
      assertTrue(shared.othersOnTime() >= 0.95 * usual.othersOnTime(), text);
      assertTrue(shared.othersOnTime() > 1.5 * unshared.othersOnTime(), text);
      assertTrue(shared.refusals() > 100 && shared.returnedServed() >= 0.8, text);
      assertTrue(shared.leastServed() >= 0.25 * shared.served(), text);
      // Refusals save nothing if they are not needed.
      assertTrue(usual.refusals() == 0, text);
    }
  }

  @Nested
  class OneWorkspaceAlone {
    @Test
    void getsTheFreeCapacity() {
      Outcome unshared = Outcome.of(12, 0, false);
      Outcome shared = Outcome.of(12, 0, true);
      String text = text(unshared, shared);
      assertTrue(shared.largestServed() >= 0.95 * unshared.largestServed(), text);
      assertTrue(shared.utilization() >= 0.95 * unshared.utilization(), text);
    }
  }
}
