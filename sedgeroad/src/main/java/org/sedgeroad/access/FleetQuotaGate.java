package org.sedgeroad.access;

import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.placement.PossibleSenders;
import org.sedgeroad.placement.SendHistory;
import org.sedgeroad.presence.FleetDetails;
import org.sedgeroad.presence.FleetLoad;
import org.sedgeroad.presence.LoadTotals;
import org.sedgeroad.presence.WorkspaceLoad;
import org.sedgeroad.settings.QuotaSettings;

/**
 * Quotas over all instances, kept by counts that are exchanged with the load reports. Applies
 * {@link QuotaBudget}. Used on the event loop.
 */
public final class FleetQuotaGate implements QuotaGate {
  /**
   * Time between two updates of reported counts that only age, in milliseconds. A report that
   * differs from the last one is sent at once; unchanged ones are sent as often as this.
   */
  private static final long REPORT_STEP_MILLIS = 200;

  /** Step of the reported time of counting, in milliseconds; ten reports in a window of 5 s. */
  private static final long HISTORY_STEP_MILLIS = 500;

  private final PossibleSenders senders;
  private final FleetLoad fleetLoad;
  private final QuotaSettings settings;
  private final MonotonicClock clock;
  private final DoubleSupplier random;
  private final SendHistory sends = new SendHistory();
  private final SendHistory refusals = new SendHistory();
  private final long completeNanos;
  private boolean complete;
  private int peersExpected;
  private Map<String, Integer> reported = Map.of();
  private long nextReportNanos;

  /**
   * Creates a gate that begins to count now. No argument may be null.
   *
   * @param senders the instances that may be sending; updated by the gate
   * @param fleetLoad load of the other instances
   * @param settings window in which requests are counted, and the tolerance
   * @param clock monotonic clock
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   * @throws IllegalArgumentException if the window is not positive
   */
  public FleetQuotaGate(
      PossibleSenders senders,
      FleetLoad fleetLoad,
      QuotaSettings settings,
      MonotonicClock clock,
      DoubleSupplier random) {
    if (settings.windowMillis() <= 0) {
      throw new IllegalArgumentException("window of " + settings.windowMillis() + " ms");
    }
    this.settings = settings;
    this.senders = Objects.requireNonNull(senders);
    this.fleetLoad = Objects.requireNonNull(fleetLoad);
    this.clock = Objects.requireNonNull(clock);
    this.random = Objects.requireNonNull(random);
    this.completeNanos = clock.deadlineAfterMillis(settings.windowMillis());
    this.nextReportNanos = clock.nanos();
  }

  @Override
  public boolean allows(Workspace workspace) {
    return !workspace.isLimited() || allowance(workspace) > 0;
  }

  @Override
  public boolean take(Workspace workspace) {
    if (!allows(workspace)) {
      return false;
    }
    sends.record(workspace.name(), settings.windowMillis(), clock.nanos());
    nextReportNanos = clock.nanos();
    return true;
  }

  @Override
  public void giveBack(Workspace workspace) {
    sends.removeNewest(workspace.name());
    nextReportNanos = clock.nanos();
  }

  @Override
  public long retryAtNanos(Workspace workspace) {
    long now = clock.nanos();
    refusals.record(workspace.name(), settings.windowMillis(), now);
    int refused = refusals.count(workspace.name(), settings.windowMillis(), now);
    return clock.deadlineAfterMillis(
        QuotaBudget.waitMillis(
            workspace,
            settings.windowMillis(),
            fleet(now),
            sent(workspace.name(), now),
            refused,
            random.getAsDouble()));
  }

  private int allowance(Workspace workspace) {
    long now = clock.nanos();
    return QuotaBudget.allowance(workspace, settings, fleet(now), sent(workspace.name(), now));
  }

  private QuotaBudget.Fleet fleet(long now) {
    LoadTotals others = fleetLoad.others(now);
    FleetDetails details = others.details();
    return new QuotaBudget.Fleet(
        senders.count(),
        others.reporters() + 1,
        details.historyMillis() + ownHistoryMillis(),
        details.completeHistories() + (isComplete() ? 1 : 0));
  }

  private QuotaBudget.Sent sent(String workspace, long now) {
    Map<String, WorkspaceLoad> loads = fleetLoad.others(now).details().workspaces();
    WorkspaceLoad others = loads.getOrDefault(workspace, WorkspaceLoad.NONE);
    return new QuotaBudget.Sent(
        sends.count(workspace, settings.windowMillis(), now),
        sends.countNewest(
            workspace, time -> !fleetLoad.hasExchangedSince(time, peersExpected, now)),
        others.sent(),
        others.retained());
  }

  /** Returns whether this instance has counted for a whole window. */
  private boolean isComplete() {
    complete |= clock.hasPassed(completeNanos);
    return complete;
  }

  private long ownHistoryMillis() {
    return isComplete()
        ? settings.windowMillis()
        : settings.windowMillis() - Math.max(0, (completeNanos - clock.nanos()) / 1_000_000L);
  }

  /**
   * Takes changes among the instances into account; to be called several times a second.
   *
   * @param expected number of other instances that are registered
   */
  public void update(int expected) {
    peersExpected = expected;
    long now = clock.nanos();
    senders.update(name -> fleetLoad.isLive(name, now), fleetLoad::isLeaving, now);
  }

  /**
   * Returns the numbers of requests that this instance has sent within the window, by workspace,
   * without workspaces that have none. Counts that only age are updated at intervals.
   */
  public Map<String, Integer> reportedCounts() {
    if (clock.hasPassed(nextReportNanos)) {
      nextReportNanos = clock.deadlineAfterMillis(REPORT_STEP_MILLIS);
      reported = Map.copyOf(sends.counts(settings.windowMillis(), clock.nanos()));
      refusals.counts(settings.windowMillis(), clock.nanos());
    }
    return reported;
  }

  /** Returns for how long this instance has counted, in steps and at most a window. */
  public long reportedHistoryMillis() {
    return isComplete()
        ? settings.windowMillis()
        : ownHistoryMillis() / HISTORY_STEP_MILLIS * HISTORY_STEP_MILLIS;
  }

  /** Returns the number of complete histories to report: 1 or 0. */
  public int reportedCompleteHistories() {
    return isComplete() ? 1 : 0;
  }
}
