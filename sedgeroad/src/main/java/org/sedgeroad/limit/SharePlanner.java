package org.sedgeroad.limit;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Computes the next step of a failure domain in the transfer of one member's shares.
 *
 * <p>A failure domain that is refused units requests a fraction. One with unused units frees part
 * of its own. The first takes it once all instances of the giver have applied the reduced fraction.
 * The gap between requesting (units refused) and freeing (below half in use) keeps shares from
 * moving back and forth.
 *
 * @param domain failure domain of this instance
 * @param domains number of failure domains
 */
record SharePlanner(String domain, int domains) {
  private static final int HALF_PPM = LimitValues.MILLION / 2;
  private static final int MIN_STEP_PPM = 10_000;
  private static final int KEPT_DIVISOR = 10;

  /**
   * Returns the member's shares after the next step, empty if there is nothing to do.
   *
   * @param current shares as in the ledger
   * @param demand demand in this failure domain since the last step
   * @param mayGive whether this failure domain may free a fraction; false for some time after it
   *     took one
   * @param isApplied whether all instances of a giver have applied the ledger with the fraction
   *     that it freed
   */
  Optional<MemberShares> next(
      MemberShares current, Demand demand, boolean mayGive, Predicate<String> isApplied) {
    int step =
        Math.min(
            Math.max(MIN_STEP_PPM, current.fraction(domain) / 2),
            LimitValues.MILLION - current.fraction(domain));
    if (demand.refused()) {
      for (String giver : current.freed().keySet()) {
        if (giver.equals(domain) || isApplied.test(giver)) {
          int taken = Math.min(step, current.freedBy(giver));
          return Optional.of(current.withTaken(domain, giver, taken).withWanted(domain, 0));
        }
      }
      boolean nothingToRequest = step == 0 || current.wanted().containsKey(domain);
      return nothingToRequest ? Optional.empty() : Optional.of(current.withWanted(domain, step));
    }
    if (current.wanted().containsKey(domain)) {
      return Optional.of(current.withWanted(domain, 0));
    }
    int wanted = current.wanted().values().stream().mapToInt(Integer::intValue).sum();
    if (wanted == 0) {
      int freedByOwn = current.freedBy(domain);
      return freedByOwn > 0
          ? Optional.of(current.withTaken(domain, domain, freedByOwn))
          : Optional.empty();
    }
    int unmet = wanted - current.freed().values().stream().mapToInt(Integer::intValue).sum();
    if (!mayGive || demand.usedPpm() >= HALF_PPM || unmet <= 0) {
      return Optional.empty();
    }
    int kept = LimitValues.MILLION / domains / KEPT_DIVISOR;
    long unused =
        current.fraction(domain) * (LimitValues.MILLION - demand.usedPpm()) / LimitValues.MILLION;
    long given = Math.min(Math.min(unmet, unused / 2), current.fraction(domain) - kept);
    return given <= 0 ? Optional.empty() : Optional.of(current.withFreed(domain, (int) given));
  }
}
