package org.sedgeroad.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.access.AccessControl;
import org.sedgeroad.access.ConfigurationAge;
import org.sedgeroad.access.FleetQuotaGate;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.gateway.RouteTableHolder;
import org.sedgeroad.placement.PossibleSenders;
import org.sedgeroad.presence.Confirmation;
import org.sedgeroad.presence.FleetDetails;
import org.sedgeroad.presence.HubExchange;
import org.sedgeroad.presence.WorkspaceLoad;
import org.sedgeroad.settings.GatewaySettings;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/** The parts of an instance that decide who may send requests. Used on the event loop. */
final class GatewayAccess {
  private final InstanceDirectory instances;
  private final RouteTableHolder routes;
  private final HubExchange hubExchange;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final ConfigurationAge age;
  private final FleetQuotaGate quotas;
  private final AccessControl control;
  private ConfigurationProbe probe;

  /** Whether requests with keys can be served, as of the last tick, and until when. */
  private volatile Readiness readiness;

  /** Creates the access control of an instance, and connects it to the exchange of loads. */
  GatewayAccess(
      GatewaySettings settings,
      InstanceDirectory instances,
      RouteTableHolder routes,
      HubExchange hubExchange,
      EventLoop loop,
      MonotonicClock clock,
      EventLog log) {
    this.routes = routes;
    this.hubExchange = hubExchange;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.age =
        new ConfigurationAge(
            settings.access().revokeMillis(),
            clock,
            System::currentTimeMillis,
            () -> routes.current().version());
    hubExchange.setConfirmations(age::confirmation, age::receive);
    this.instances = instances;
    this.quotas =
        new FleetQuotaGate(
            new PossibleSenders(
                settings.instance(), settings.domain(), instances::domainsByInstance),
            hubExchange.view(),
            settings.access().quota(),
            clock,
            () -> ThreadLocalRandom.current().nextDouble());
    hubExchange.retainCounts(settings.access().quota().windowMillis());
    this.control =
        new AccessControl(
            routes,
            age,
            () -> hubExchange.view().others(clock.nanos()).configurationVersion(),
            quotas,
            clock);
    this.readiness = new Readiness(!age.isBounded(), OptionalLong.empty());
  }

  AccessControl control() {
    return control;
  }

  /**
   * Starts confirming the configuration.
   *
   * @param store the store
   * @param kind kind of the configuration objects
   * @param watcher watch of that kind
   * @param listener receives changes of the configuration
   */
  void probe(ObjectStore store, String kind, KindWatcher watcher, KindWatcher.Listener listener) {
    probe =
        new ConfigurationProbe(
            new ConfigurationProbe.Source() {
              @Override
              public AutoCloseable watch(long afterVersion, WatchListener receiver) {
                return store.watch(kind, afterVersion, receiver);
              }

              @Override
              public void renewConnections() {
                store.renewConnections();
              }

              @Override
              public long reachedVersion() {
                return watcher.version();
              }

              @Override
              public void changed(StoredObject object) {
                listener.changed(object);
              }

              @Override
              public void relist(String reason) {
                watcher.restart(reason);
              }
            },
            age,
            hubExchange::isFirstHub,
            () -> ThreadLocalRandom.current().nextDouble(),
            loop,
            clock,
            log);
  }

  /**
   * Returns what this instance reports of the workspaces; nothing if the configuration has none.
   *
   * @param running numbers of live requests that endpoints have now, by workspace
   * @param waiting numbers of live requests that wait for a slot, by workspace
   */
  FleetDetails details(Map<String, Integer> running, Map<String, Integer> waiting) {
    if (!routes.current().workspaces().isRequired()) {
      return FleetDetails.NONE;
    }
    Map<String, WorkspaceLoad> loads = new HashMap<>();
    running.forEach((name, count) -> loads.put(name, new WorkspaceLoad(0, count, 0)));
    waiting.forEach(
        (name, count) -> loads.merge(name, new WorkspaceLoad(0, 0, count), WorkspaceLoad::plus));
    quotas
        .reportedCounts()
        .forEach(
            (name, count) ->
                loads.merge(name, new WorkspaceLoad(count, 0, 0), WorkspaceLoad::plus));
    return new FleetDetails(
        Confirmation.NONE,
        quotas.reportedHistoryMillis(),
        quotas.reportedCompleteHistories(),
        loads,
        Map.of());
  }

  /**
   * Confirms the configuration if it is time, and takes changes among the instances into account.
   * To be called several times a second.
   */
  void tick() {
    quotas.update(instances.count());
    probe.tick();
    readiness = new Readiness(control.isReady(), control.expiresAtNanos());
  }

  /**
   * Returns whether requests with keys can be served. The time at which the configuration expires
   * counts at once, so that no request is refused by an instance that still says that it is ready.
   * May be called on any thread.
   */
  boolean isReady() {
    Readiness current = readiness;
    return current.ready()
        && current.untilNanos().stream().allMatch(until -> clock.nanos() - until < 0);
  }

  private record Readiness(boolean ready, OptionalLong untilNanos) {}
}
