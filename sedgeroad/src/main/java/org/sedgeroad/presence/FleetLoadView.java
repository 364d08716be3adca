package org.sedgeroad.presence;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Load of the fleet from the summaries of the hubs of this instance's failure domain. Used on the
 * event loop.
 *
 * <p>A summary contains the load of this instance as it was in the report that the hub had then.
 * The view remembers what it has reported and takes it out again, so that the instance can add its
 * work as it is now.
 */
public final class FleetLoadView implements FleetLoad {
  /**
   * Number of own reports that are remembered; a summary contains a report that is at most a few
   * tens of milliseconds old, and an instance sends one in 5 ms at most.
   */
  private static final int REMEMBERED_REPORTS = 128;

  /**
   * Time that the work of other failure domains takes to reach this instance, in milliseconds: the
   * pauses between two summaries on each part of the way, and room for one that is late.
   */
  private static final long EXCHANGE_MILLIS = 110;

  /**
   * Time without a report of any instance of another failure domain after which its instances are
   * considered failed, in milliseconds. A silent domain is more likely cut off than failed, but its
   * jobs must continue elsewhere within 10 s.
   */
  static final long DOMAIN_FAILURE_TIMEOUT_MILLIS = 8_000;

  /**
   * Age of the last news of an instance up to which its work is part of the sums, in milliseconds:
   * the age of a report that a hub still counts, and the time between two summaries that contain
   * the states of all instances.
   */
  private static final long COUNTED_MILLIS =
      LoadReportTable.COUNTS_VALID_MILLIS + HubExchange.COMPLETE_MILLIS;

  private record Sent(LoadReport report, long sentNanos) {}

  private record Heard(long heardNanos, boolean leaving) {}

  private final String instance;
  private final Map<String, DomainHub.Received> summaries = new HashMap<>();
  private final Deque<Sent> sentReports = new ArrayDeque<>();
  private final Map<String, Heard> heard = new HashMap<>();
  private final IsolationDetector isolation = new IsolationDetector();
  private final ContactRecord contact = new ContactRecord(ContactRecord.LOSS_MILLIS);

  /** Contact with the other failure domains that have registered instances, by domain. */
  private final Map<String, ContactRecord> domainContacts = new HashMap<>();

  /** Failure domains of the registered instances of other domains. */
  private Map<String, String> remoteDomains = Map.of();

  private DomainHub.Received used;
  private LoadTotals others = LoadTotals.NONE;

  /** Sums from which instances are missing since; null if there are none. */
  private LoadTotals fuller;

  private long fullerNanos;
  private long retentionNanos;
  private long includedNanos;
  private boolean includesOwnReport;

  /** Creates a view of an instance that has received no summary. */
  public FleetLoadView(String instance) {
    this.instance = instance;
  }

  /**
   * Sets the time for which requests that other instances have sent stay in the sums after these
   * instances are no longer counted, in milliseconds; 0 until then.
   */
  void setRetention(long millis) {
    retentionNanos = millis * 1_000_000L;
  }

  /** Remembers a report that this instance sends. */
  void sent(LoadReport report, long nowNanos) {
    sentReports.addLast(new Sent(report, nowNanos));
    if (sentReports.size() > REMEMBERED_REPORTS) {
      sentReports.removeFirst();
    }
  }

  /**
   * Returns when this instance sent the report that a summary contains, in nanoseconds of the
   * monotonic clock; empty if it contains none, or one that is no longer remembered.
   */
  OptionalLong reportedNanos(LoadSummary summary) {
    ReporterState own = summary.reporters().get(instance);
    return own == null
        ? OptionalLong.empty()
        : sentReports.stream()
            .filter(
                sent ->
                    sent.report().incarnation() == own.incarnation()
                        && sent.report().sequence() == own.sequence())
            .mapToLong(Sent::sentNanos)
            .findFirst();
  }

  /**
   * Stores a summary of the fleet; returns whether the loads of the others have changed.
   *
   * @param summary a summary of a hub of this failure domain
   * @param nowNanos monotonic time of arrival, in nanoseconds
   */
  boolean receive(LoadSummary summary, long nowNanos) {
    if (!DomainHub.store(summaries, summary, nowNanos)) {
      return false;
    }
    summary.reporters().forEach((name, state) -> heard(name, state, nowNanos));
    DomainHub.Received best = DomainHub.best(summaries, nowNanos);
    if (best == used) {
      return false;
    }
    LoadTotals before = others;
    boolean retained = used != null && nowNanos - used.receivedNanos() < retentionNanos;
    used = best;
    takeOutOwnReport();
    retainCounts(retained ? before : LoadTotals.NONE, nowNanos);
    return !others.equals(before);
  }

  /**
   * Adds the requests that instances have sent which are no longer counted, unless the hubs still
   * count them.
   */
  private void retainCounts(LoadTotals before, long nowNanos) {
    if (fuller != null
        && (nowNanos - fullerNanos >= retentionNanos || others.reporters() >= fuller.reporters())) {
      fuller = null;
    }
    if (fuller == null && others.reporters() < before.reporters()) {
      fuller = before;
      fullerNanos = nowNanos;
    }
    if (fuller != null) {
      others = others.plusDetails(fuller.details().retainedBeyond(others.details()));
    }
  }

  /**
   * Records whether other instances are live at a monotonic time in nanoseconds; see {@link
   * IsolationDetector#observe}.
   */
  void observeLiveness(long nowNanos) {
    isolation.observe(heard.keySet().stream().anyMatch(name -> isLive(name, nowNanos)), nowNanos);
  }

  /** Records that a message of another instance has arrived. */
  void messageReceived(long nowNanos) {
    contact.heard(nowNanos);
  }

  /**
   * Sets the failure domains of the registered instances that are in other domains than this one. A
   * new domain counts as heard now.
   */
  void setRemoteDomains(Map<String, String> domainsByInstance, long nowNanos) {
    remoteDomains = Map.copyOf(domainsByInstance);
    domainContacts.keySet().retainAll(remoteDomains.values());
    for (String domain : remoteDomains.values()) {
      if (!domainContacts.containsKey(domain)) {
        ContactRecord record = new ContactRecord(ContactRecord.DOMAIN_LOSS_MILLIS);
        record.heard(nowNanos);
        domainContacts.put(domain, record);
      }
    }
  }

  private void heard(String name, ReporterState state, long nowNanos) {
    long heardNanos = nowNanos - state.ageMillis() * 1_000_000L;
    Heard before = heard.get(name);
    if (!name.equals(instance) && (before == null || heardNanos - before.heardNanos() >= 0)) {
      heard.put(name, new Heard(heardNanos, state.leaving()));
    }
    ContactRecord domain = domainContacts.get(remoteDomains.get(name));
    if (domain != null) {
      domain.heard(heardNanos);
    }
  }

  private void takeOutOwnReport() {
    LoadTotals totals = used.summary().totals();
    ReporterState own = used.summary().reporters().get(instance);
    others = totals;
    includesOwnReport = false;
    if (own == null) {
      return;
    }
    for (Sent sent : sentReports) {
      if (sent.report().incarnation() == own.incarnation()
          && sent.report().sequence() == own.sequence()) {
        others = totals.minus(sent.report());
        includesOwnReport = true;
        includedNanos = sent.sentNanos();
      }
    }
  }

  @Override
  public boolean isCounted(String name, long nowNanos) {
    Heard last = heard.get(name);
    return last != null && nowNanos - last.heardNanos() < COUNTED_MILLIS * 1_000_000L;
  }

  @Override
  public boolean isLeaving(String name) {
    Heard last = heard.get(name);
    return last != null && last.leaving();
  }

  @Override
  public LoadTotals others(long nowNanos) {
    long age = used == null ? Long.MAX_VALUE : nowNanos - used.receivedNanos();
    if (age < LoadReportTable.COUNTS_VALID_MILLIS * 1_000_000L) {
      return others;
    }
    return age < retentionNanos
        ? LoadTotals.NONE.withDetails(others.details().retained())
        : LoadTotals.NONE;
  }

  /**
   * Returns whether the summary in use contains a report that this instance sent after a time, and
   * arrived late enough to contain the work that other failure domains had then.
   */
  @Override
  public boolean hasExchangedSince(long sinceNanos, int expected, long nowNanos) {
    return used != null
        && includesOwnReport
        && includedNanos - sinceNanos >= 0
        && used.receivedNanos() - sinceNanos >= EXCHANGE_MILLIS * 1_000_000L;
  }

  @Override
  public boolean isLive(String name, long nowNanos) {
    Heard last = heard.get(name);
    return last != null
        && !last.leaving()
        && nowNanos - last.heardNanos() < LoadReportTable.FAILURE_TIMEOUT_MILLIS * 1_000_000L;
  }

  @Override
  public List<String> liveInstances(long nowNanos) {
    return heard.keySet().stream().filter(name -> isLive(name, nowNanos)).toList();
  }

  @Override
  public int contactEpoch(long nowNanos) {
    return contact.epoch(nowNanos)
        + domainContacts.values().stream().mapToInt(domain -> domain.epoch(nowNanos)).sum();
  }

  @Override
  public boolean hasLostContact(long nowNanos) {
    return contact.isLost(nowNanos)
        || domainContacts.values().stream().anyMatch(domain -> domain.isLost(nowNanos));
  }

  @Override
  public boolean isFailed(String name, long nowNanos) {
    ContactRecord domain = domainContacts.get(remoteDomains.get(name));
    boolean domainMayBeCutOff =
        domain != null
            && domain.isSilent(LoadReportTable.COUNTS_VALID_MILLIS, nowNanos)
            && !domain.isSilent(DOMAIN_FAILURE_TIMEOUT_MILLIS, nowNanos);
    return !isLive(name, nowNanos) && (isLeaving(name) || !domainMayBeCutOff);
  }

  @Override
  public boolean isIsolated(long nowNanos) {
    List<Long> expected =
        heard.values().stream().filter(last -> !last.leaving()).map(Heard::heardNanos).toList();
    return IsolationDetector.becameSilentTogether(expected)
        && liveInstances(nowNanos).isEmpty()
        && !isolation.isOver();
  }
}
