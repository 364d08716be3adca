package org.sedgeroad.presence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.announcement.VersionedAnnouncement;
import org.sedgeroad.suspicion.CrashSeries;

/**
 * Exchange of loads through the hubs of the failure domains: each instance sends its reports to the
 * hubs of its domain, the hubs exchange the sums of their domains, and publish the sums of the
 * fleet to the instances of their domain. Series of crashes and announcements of endpoints take the
 * same way. Used on the event loop.
 *
 * <p>An instance that is no hub sends and receives as many messages in a fleet of any size; a hub
 * as many as its domain has instances and the fleet has domains.
 */
public final class HubExchange {
  /** Time between two calls of {@link #tick}, in milliseconds. */
  public static final long TICK_MILLIS = 50;

  /**
   * Shortest time between two summaries of the fleet, in milliseconds: a twelfth of the time within
   * which a live request should begin.
   */
  private static final long FLEET_INTERVAL_MILLIS = 25;

  /** Shortest time between two summaries for the other domains, in milliseconds. */
  private static final long DOMAIN_INTERVAL_MILLIS = 30;

  /** Factor by which the second hub's summaries are rarer. */
  private static final int SECOND_HUB_FACTOR = 4;

  /** Time for which changes are collected before a summary is sent, in milliseconds. */
  private static final long COLLECTION_MILLIS = 3;

  /**
   * Time between two reports or summaries without a change, in milliseconds; a third of {@link
   * LoadReportTable#COUNTS_VALID_MILLIS}, so that the counts stay valid if one is lost.
   */
  private static final long UNCHANGED_MILLIS = 200;

  /** Time between two selections of the hubs, in milliseconds. */
  private static final long SELECTION_MILLIS = 100;

  /** Time between two summaries that contain the states of all instances, in milliseconds. */
  static final long COMPLETE_MILLIS = 250;

  /** Time between two reports to a hub that is not heard, in milliseconds. */
  private static final long PROBE_MILLIS = 1_000;

  private final String instance;
  private final String domain;
  private final Supplier<Map<String, String>> domainsByInstance;
  private final LoadSender sender;
  private final MonotonicClock clock;
  private final Runnable changeListener;
  private final HubSelector selector;
  private final DomainHub hub;
  private final FleetLoadView view;
  private final PacedTask fleetPublisher;
  private final PacedTask domainPublisher;
  private Consumer<Map<String, CrashSeries>> crashListener = series -> {};
  private Consumer<Map<String, VersionedAnnouncement>> announcementListener = news -> {};
  private Supplier<Confirmation> ownConfirmation = () -> Confirmation.NONE;
  private ConfirmationListener confirmationListener = (confirmation, reported) -> {};
  private LoadReport lastReport;
  private long sequence;
  private final Interval unchangedReport = new Interval();
  private final Interval reportProbe = new Interval();
  private final Interval domainProbe = new Interval();
  private final Interval completeSummary = new Interval();
  private final Interval selection = new Interval();

  /** Names of the other instances of this domain. */
  private final Set<String> members = new HashSet<>();

  private final Map<String, List<String>> hubsByDomain = new HashMap<>();

  /** Whether this instance publishes summaries: it is selected here or by another instance. */
  private boolean hubRole;

  /**
   * Creates an exchange.
   *
   * @param instance name of this instance
   * @param domain failure domain of this instance
   * @param incarnation number of this process
   * @param domainsByInstance returns the failure domains of the other registered instances
   * @param sender sends messages to other instances
   * @param loop event loop
   * @param clock monotonic clock of the loop
   * @param changeListener is called when the known load of the other instances has changed
   */
  public HubExchange(
      String instance,
      String domain,
      long incarnation,
      Supplier<Map<String, String>> domainsByInstance,
      LoadSender sender,
      EventLoop loop,
      MonotonicClock clock,
      Runnable changeListener) {
    this.instance = instance;
    this.domain = domain;
    this.domainsByInstance = domainsByInstance;
    this.sender = sender;
    this.clock = clock;
    this.changeListener = changeListener;
    this.selector = new HubSelector(instance);
    this.hub = new DomainHub(instance, domain, incarnation);
    this.view = new FleetLoadView(instance);
    this.fleetPublisher = new PacedTask(loop, clock, COLLECTION_MILLIS, this::publishFleet);
    this.domainPublisher = new PacedTask(loop, clock, COLLECTION_MILLIS, this::publishDomain);
    selectHubs();
  }

  /** Returns the load of the fleet as known to this instance. */
  public FleetLoadView view() {
    return view;
  }

  /** Returns whether this instance is the first hub of its failure domain. */
  public boolean isFirstHub() {
    return hubsByDomain.get(domain).get(0).equals(instance);
  }

  /** Returns the selected hubs of this failure domain, the first one first; at least one name. */
  public List<String> hubs() {
    return List.copyOf(hubsByDomain.get(domain));
  }

  /** Returns the number of selected hubs of all failure domains. */
  public int hubCount() {
    return hubsByDomain.values().stream().mapToInt(List::size).sum();
  }

  /** Returns whether this instance publishes summaries and passes on series of crashes. */
  public boolean isHub() {
    return hubRole;
  }

  /**
   * Returns the names of the first hubs of all failure domains, without those that are not live.
   */
  public List<String> liveFirstHubs() {
    long now = clock.nanos();
    return hubsByDomain.values().stream()
        .map(hubs -> hubs.get(0))
        .filter(name -> name.equals(instance) || view.isLive(name, now))
        .toList();
  }

  /**
   * Reports the load of this instance if it has changed, or if the last report is old.
   *
   * @param load the load; its sequence number is replaced
   */
  public void report(LoadReport load) {
    long now = clock.nanos();
    boolean changed = lastReport == null || load.differsFrom(lastReport);
    if (!changed && !unchangedReport.isDue(UNCHANGED_MILLIS)) {
      return;
    }
    unchangedReport.mark();
    FleetDetails details = load.details().withConfirmation(ownConfirmation.get());
    lastReport = load.withSequence(++sequence).withDetails(details);
    view.sent(lastReport, now);
    hub.receive(lastReport, now);
    Set<String> receivers = new HashSet<>(hubsByDomain.get(domain));
    receivers.remove(instance);
    if (reportProbe.isDue(PROBE_MILLIS)) {
      reportProbe.mark();
      selector.silent().stream().filter(members::contains).forEach(receivers::add);
    }
    sender.send(lastReport, receivers);
    if (changed && hubRole) {
      requestSummaries();
    }
  }

  /**
   * Sends series of crashes to the hubs of this domain, and as a hub also to the instances of the
   * domain and to the hubs of the others.
   */
  public void spread(Map<String, CrashSeries> series) {
    sendNews(new CrashNews(instance, series));
  }

  /** Sends announcements of endpoints in the same way as {@link #spread} sends series. */
  public void spreadAnnouncements(Map<String, VersionedAnnouncement> announcements) {
    sendNews(new AnnouncementNews(instance, announcements));
  }

  private void sendNews(LoadMessage news) {
    Set<String> receivers = new HashSet<>(hubsByDomain.get(domain));
    if (hubRole) {
      receivers.addAll(members);
      hubsByDomain.values().forEach(receivers::addAll);
    }
    receivers.remove(instance);
    sender.send(news, receivers);
  }

  /** Sets the receiver of the series of crashes that other instances send. */
  public void setCrashListener(Consumer<Map<String, CrashSeries>> listener) {
    crashListener = listener;
  }

  /** Sets the receiver of the announcements of endpoints that other instances send. */
  public void setAnnouncementListener(Consumer<Map<String, VersionedAnnouncement>> listener) {
    announcementListener = listener;
  }

  /**
   * Sets what is told to other instances about the age of the configuration, and the receiver of
   * what they tell.
   *
   * @param own returns the youngest confirmation that is known, at the time of the call
   * @param listener receives the confirmations of other instances that answer a report
   */
  public void setConfirmations(Supplier<Confirmation> own, ConfirmationListener listener) {
    ownConfirmation = own;
    confirmationListener = listener;
  }

  /**
   * Sets the time for which the requests of workspaces that an instance has sent stay in the sums
   * after it has stopped to report, in milliseconds; 0 until then.
   */
  public void retainCounts(long millis) {
    hub.setRetention(millis);
    view.setRetention(millis);
  }

  /** Receives a message of another instance. */
  public void receive(LoadMessage message) {
    long now = clock.nanos();
    if (message instanceof CrashNews news) {
      crashListener.accept(news.series());
    } else if (message instanceof AnnouncementNews news) {
      announcementListener.accept(news.announcements());
    } else if (message instanceof LoadReport report) {
      view.messageReceived(now);
      // An instance of another domain, or one that is not registered, is not counted here.
      if (members.contains(report.instance()) && hub.receive(report, now)) {
        requestSummaries();
      }
    } else if (message instanceof LoadSummary summary && !summary.hub().equals(instance)) {
      view.messageReceived(now);
      selector.heard(summary.hub(), now);
      if (ofOwnDomain(summary)) {
        view.reportedNanos(summary)
            .ifPresent(
                reported ->
                    confirmationListener.confirmed(
                        summary.totals().details().confirmation(), reported));
      }
      boolean ofOwnDomain = ofOwnDomain(summary);
      if (summary.scope() == LoadSummary.Scope.DOMAIN) {
        if (!ofOwnDomain && hub.receive(summary, now) && hubRole) {
          fleetPublisher.request(FLEET_INTERVAL_MILLIS * rarity());
        }
      } else if (ofOwnDomain && view.receive(summary, now)) {
        changeListener.run();
      }
    }
  }

  /**
   * Selects the hubs again if it is time, and publishes summaries that are due without a change. To
   * be called every {@link #TICK_MILLIS}.
   */
  public void tick() {
    view.observeLiveness(clock.nanos());
    if (selection.isDue(SELECTION_MILLIS)) {
      selectHubs();
    }
    if (!hubRole) {
      return;
    }
    if (fleetPublisher.isDue(UNCHANGED_MILLIS)) {
      fleetPublisher.request(UNCHANGED_MILLIS);
    }
    if (domainPublisher.isDue(UNCHANGED_MILLIS)) {
      domainPublisher.request(UNCHANGED_MILLIS);
    }
  }

  private void selectHubs() {
    selection.mark();
    long now = clock.nanos();
    Map<String, String> registered = domainsByInstance.get();
    Map<String, List<String>> candidates = new HashMap<>();
    candidates.computeIfAbsent(domain, key -> new ArrayList<>()).add(instance);
    members.clear();
    registered.forEach(
        (name, itsDomain) -> {
          if (itsDomain.equals(domain)) {
            members.add(name);
          }
          if (!view.isLeaving(name)) {
            candidates.computeIfAbsent(itsDomain, key -> new ArrayList<>()).add(name);
          }
        });
    Map<String, String> remoteDomains = new HashMap<>(registered);
    remoteDomains.keySet().removeAll(members);
    view.setRemoteDomains(remoteDomains, now);
    hubsByDomain.clear();
    candidates.forEach((of, names) -> hubsByDomain.put(of, selector.select(of, names, now)));
    selector.retain(registered.keySet());
    hubRole = hubsByDomain.get(domain).contains(instance) || hub.hasReporters(now);
  }

  private void requestSummaries() {
    fleetPublisher.request(FLEET_INTERVAL_MILLIS * rarity());
    domainPublisher.request(DOMAIN_INTERVAL_MILLIS * rarity());
  }

  private int rarity() {
    return isFirstHub() ? 1 : SECOND_HUB_FACTOR;
  }

  private void publishFleet() {
    long now = clock.nanos();
    boolean complete = completeSummary.isDue(COMPLETE_MILLIS);
    if (complete) {
      completeSummary.mark();
    }
    LoadSummary summary = confirmed(hub.fleetSummary(complete, now));
    sender.send(summary, members);
    if (view.receive(summary, now)) {
      changeListener.run();
    }
  }

  private boolean ofOwnDomain(LoadSummary summary) {
    return summary.domain().equals(domain);
  }

  /** Returns a summary with the youngest confirmation that is known now. */
  private LoadSummary confirmed(LoadSummary summary) {
    return summary.withConfirmation(ownConfirmation.get());
  }

  private void publishDomain() {
    Set<String> receivers = new HashSet<>();
    hubsByDomain.forEach(
        (of, hubs) -> {
          if (!of.equals(domain)) {
            receivers.addAll(hubs);
          }
        });
    if (domainProbe.isDue(PROBE_MILLIS)) {
      domainProbe.mark();
      selector.silent().stream().filter(name -> !members.contains(name)).forEach(receivers::add);
    }
    if (!receivers.isEmpty()) {
      sender.send(confirmed(hub.domainSummary(clock.nanos())), receivers);
    }
  }

  /** Remembers when something was done last. */
  private final class Interval {
    private long lastNanos;
    private boolean done;

    boolean isDue(long millis) {
      return !done || clock.nanos() - lastNanos >= millis * 1_000_000L;
    }

    void mark() {
      done = true;
      lastNanos = clock.nanos();
    }
  }
}
