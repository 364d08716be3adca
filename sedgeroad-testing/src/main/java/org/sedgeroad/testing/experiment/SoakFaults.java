package org.sedgeroad.testing.experiment;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.load.LiveLoad;

/**
 * Injects the failures of a soak. A step is skipped if its target has already failed or if too few
 * components of its kind would remain.
 */
final class SoakFaults {
  /**
   * Maximum number of entry instances, of engines and of failure domains that are down at the same
   * time. The other four of the six instances or engines must be able to carry the load.
   */
  private static final int MAX_DOWN = 2;

  private static final long READY_TIMEOUT_MILLIS = 15_000;
  private static final String STORE = "store";

  private final Deployment deployment;
  private final StoreLinks links;
  private final SoakJournal journal;
  private final Set<String> down = ConcurrentHashMap.newKeySet();

  SoakFaults(Deployment deployment, StoreLinks links, SoakJournal journal) {
    this.deployment = deployment;
    this.links = links;
    this.journal = journal;
  }

  /**
   * Runs a step and returns when its failure has ended. Steps that are not failures have no effect.
   */
  void run(SoakStep step) {
    switch (step.action()) {
      case KILL_ENTRY, PAUSE_ENTRY, STOP_ENTRY -> injectEntryFault(step);
      case CRASH_ENGINE, DRAIN_ENGINE -> injectEngineFault(step);
      case STORE_UNAVAILABLE ->
          injectStoreFault(step, "/control/outage", "{\"mode\":\"unavailable\"}");
      case STORE_HANG -> injectStoreFault(step, "/control/outage", "{\"mode\":\"hang\"}");
      case STORE_SLOW ->
          injectStoreFault(step, "/control/delay", "{\"millis\":300,\"jitter_millis\":700}");
      case STORE_LOSES_ANSWERS ->
          injectStoreFault(step, "/control/lose-answers", "{\"probability\":0.3}");
      case STORE_LIMITS ->
          injectStoreFault(
              step, "/control/rate", "{\"writes_per_second\":5,\"reads_per_second\":30}");
      case CUT_DOMAIN -> disconnectDomain(step);
      default -> {
        // The other classes of the soak submit jobs, send requests and change limits.
      }
    }
  }

  /**
   * Ends the failures of the store and the disconnections of failure domains, starts the entry
   * instances that are not running, and waits until all entry instances are ready.
   */
  void repairAll() {
    deployment.control(deployment.store(), "/control/outage", "{\"mode\":\"none\"}");
    repairStore();
    for (DomainPlan domain : deployment.plan().domains()) {
      links.of(domain.name()).restore();
    }
    for (EntryProcess entry : deployment.entries()) {
      if (!entry.process().isAlive()) {
        entry.start();
      }
      deployment.awaitReady(entry);
    }
  }

  private void injectEntryFault(SoakStep step) {
    EntryProcess entry = deployment.entries().get(step.target() % deployment.entries().size());
    if (!markDown("entry ", entry.name())) {
      return;
    }
    long from = LiveLoad.nowMicros();
    if (step.action() == SoakAction.PAUSE_ENTRY) {
      entry.process().pause();
      pause(step.durationMillis());
      entry.process().resume();
    } else {
      if (step.action() == SoakAction.STOP_ENTRY) {
        entry.process().requestStop();
        entry.process().awaitEnd();
        journal.stops.add(
            new SoakJournal.PlannedStop(entry.callerAddress(), from, LiveLoad.nowMicros()));
      }
      entry.process().kill();
      pause(step.durationMillis());
      entry.start();
      awaitReady(entry);
    }
    markRepaired("entry ", entry.name(), from);
  }

  /**
   * Waits until an entry instance is ready, for at most 15 s. It is no error if the instance does
   * not become ready, for example because the store is unavailable.
   */
  private void awaitReady(EntryProcess entry) {
    long end = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
    while (System.nanoTime() < end
        && !deployment.read(entry.callerAddress().resolve("/readyz")).startsWith("ready")) {
      pause(100);
    }
  }

  private void injectEngineFault(SoakStep step) {
    EndpointProcess engine = deployment.engines().get(step.target() % deployment.engines().size());
    String name = engine.endpoint().name();
    if (!markDown("engine ", name)) {
      return;
    }
    long from = LiveLoad.nowMicros();
    if (step.action() == SoakAction.CRASH_ENGINE) {
      deployment.control(
          engine.address(), "/control/crash", "{\"millis\":" + step.durationMillis() + "}");
      pause(step.durationMillis());
    } else {
      deployment.updateEndpoint(withState(engine.endpoint(), EndpointState.LEAVING));
      deployment.control(engine.address(), "/control/drain", "{\"draining\":true}");
      long leavingMicros = LiveLoad.nowMicros();
      pause(step.durationMillis() + 3_000);
      journal.drains.add(
          new SoakJournal.UnavailableInterval(name, leavingMicros, LiveLoad.nowMicros()));
      deployment.control(engine.address(), "/control/drain", "{\"draining\":false}");
      deployment.updateEndpoint(engine.endpoint());
    }
    markRepaired("engine ", name, from);
  }

  private void injectStoreFault(SoakStep step, String path, String body) {
    if (!down.add(STORE)) {
      return;
    }
    long from = LiveLoad.nowMicros();
    deployment.control(deployment.store(), path, body);
    pause(step.durationMillis());
    if (path.endsWith("outage")) {
      deployment.control(deployment.store(), path, "{\"mode\":\"none\"}");
    }
    repairStore();
    markRepaired("", STORE, from);
  }

  private void repairStore() {
    deployment.control(deployment.store(), "/control/delay", "{}");
    deployment.control(deployment.store(), "/control/lose-answers", "{}");
    deployment.control(deployment.store(), "/control/rate", "{}");
  }

  private void disconnectDomain(SoakStep step) {
    String domain = deployment.plan().domains().get(step.target() % links.size()).name();
    if (!markDown("domain ", domain)) {
      return;
    }
    long from = LiveLoad.nowMicros();
    links.of(domain).setDisconnected(true);
    pause(step.durationMillis());
    links.of(domain).setDisconnected(false);
    markRepaired("domain ", domain, from);
  }

  private synchronized boolean markDown(String kind, String name) {
    long others = down.stream().filter(component -> component.startsWith(kind)).count();
    return others < MAX_DOWN && down.add(kind + name);
  }

  private void markRepaired(String kind, String name, long from) {
    down.remove(kind + name);
    journal.failures.add(
        new SoakJournal.UnavailableInterval(kind + name, from, LiveLoad.nowMicros()));
  }

  private static Endpoint withState(Endpoint endpoint, EndpointState state) {
    return new Endpoint(
        endpoint.name(),
        endpoint.service(),
        endpoint.address(),
        endpoint.domain(),
        endpoint.region(),
        state);
  }

  private static void pause(long millis) {
    Bench.pause(millis / 1_000.0);
  }
}
