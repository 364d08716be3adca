package org.sedgeroad.placement;

/**
 * Simulated deployment and its load.
 *
 * @param exchange how the instances learn each other's loads
 * @param domains number of failure domains
 * @param instances number of instances
 * @param engines number of engines with 8 slots each
 * @param livePerSecond mean arrival rate of live requests, per second
 * @param lowLoad arrival rate between peaks as a fraction of the mean
 * @param peakLoad arrival rate in a peak as a fraction of the mean
 * @param liveMillis mean time for which a live request holds a slot, in milliseconds
 * @param jobsPerSecond arrival rate of jobs of ten items, per second
 * @param itemMillis mean time for which an item needs a slot, in milliseconds
 * @param dueMillis time from its submission after which a job is due, in milliseconds
 * @param returning number of late requests that arrive together at the start of each third peak, as
 *     after an outage
 * @param lateItems number of items that are already late at the start, as after an outage; they are
 *     of no job whose items are counted
 * @param domainSpread by how much the peak of the last failure domain is above the mean of all
 *     domains, and that of the first one below it, as a fraction of the mean
 */
record PeakLoad(
    Exchange exchange,
    int domains,
    int instances,
    int engines,
    double livePerSecond,
    double lowLoad,
    double peakLoad,
    double liveMillis,
    double jobsPerSecond,
    double itemMillis,
    double dueMillis,
    int returning,
    int lateItems,
    double domainSpread) {
  /** Nine instances, eight engines: live work takes 44% of the slots, batch work 37%. */
  static final PeakLoad TYPICAL =
      new PeakLoad(Exchange.HUBS, 3, 9, 8, 39, 0.377, 1.84, 720, 0.48, 4_900, 18_000, 0, 0, 0);

  /** As typical, on 80 instances in six failure domains that share 29 engines. */
  static final PeakLoad LARGE =
      new PeakLoad(Exchange.HUBS, 6, 80, 29, 141, 0.377, 1.84, 720, 1.74, 4_900, 18_000, 0, 0, 0);

  /** As typical, on 410 instances in 13 failure domains that share 150 engines. */
  static final PeakLoad VERY_LARGE =
      new PeakLoad(Exchange.HUBS, 13, 410, 150, 731, 0.377, 1.84, 720, 9, 4_900, 18_000, 0, 0, 0);

  /**
   * Square-wave peaks that differ between six failure domains: 18 instances share 16 engines, live
   * work takes 40% of the slots, batch work 25%.
   */
  static final PeakLoad SQUARE =
      new PeakLoad(Exchange.HUBS, 6, 18, 16, 64, 0.38, 1.84, 800, 0.71, 4_500, 18_000, 0, 0, 0.4);

  /** As square-wave peaks, with the mean load at all times. */
  static final PeakLoad STEADY =
      new PeakLoad(Exchange.HUBS, 6, 18, 16, 64, 1, 1, 800, 0.71, 4_500, 18_000, 0, 0, 0);

  PeakLoad withExchange(Exchange next) {
    return copy(next, engines, returning, lateItems);
  }

  PeakLoad withEngines(int next) {
    return copy(exchange, next, returning, lateItems);
  }

  PeakLoad withReturning(int next) {
    return copy(exchange, engines, next, lateItems);
  }

  PeakLoad withLateItems(int next) {
    return copy(exchange, engines, returning, next);
  }

  private PeakLoad copy(Exchange nextExchange, int nextEngines, int nextReturning, int nextItems) {
    return new PeakLoad(
        nextExchange,
        domains,
        instances,
        nextEngines,
        livePerSecond,
        lowLoad,
        peakLoad,
        liveMillis,
        jobsPerSecond,
        itemMillis,
        dueMillis,
        nextReturning,
        nextItems,
        domainSpread);
  }

  /** Ways in which the instances learn each other's loads. */
  enum Exchange {
    /** Each instance sends its reports to all others, every 50 ms. */
    DIRECT,
    /** Reports go to the hubs of the failure domain, which publish the sums. */
    HUBS,
    /** Each change of the work of an instance is known to all others at once. */
    EXACT
  }
}
