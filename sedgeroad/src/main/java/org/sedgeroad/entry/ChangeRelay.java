package org.sedgeroad.entry;

import io.undertow.server.HttpHandler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.presence.HubExchange;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.ObjectStore;

/**
 * Passes changes of the store on from the hubs of a failure domain, which watch it, to the other
 * instances, which ask the first hub. Used on the event loop.
 *
 * <p>An instance asks the store itself while its hub is silent, can't reach the store, or is behind
 * others. Both hubs watch, so that a failure domain has one that notices what the other misses.
 */
final class ChangeRelay {
  private final String instance;
  private final HubExchange hubs;
  private final InstanceDirectory instances;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final RelayedStore store;
  private final Map<String, ChangeHistory> histories = new HashMap<>();

  /** Creates a relay for an instance with a name. */
  ChangeRelay(
      String instance,
      ObjectStore store,
      HubExchange hubs,
      InstanceDirectory instances,
      PooledHttpClient httpClient,
      EventLoop loop,
      MonotonicClock clock) {
    this.instance = instance;
    this.hubs = hubs;
    this.instances = instances;
    this.loop = loop;
    this.clock = clock;
    PeerChanges peers = new HttpPeerChanges(instances, httpClient, clock);
    this.store = new RelayedStore(store, this::reader, peers, clock);
  }

  /** Returns the store, whose watches ask the first hub if it watches for this instance. */
  ObjectStore store() {
    return store;
  }

  /**
   * Returns whether a fleet has few enough hubs for them to watch for the others. Where half of the
   * instances are hubs, passing changes on saves less than the shorter waits of the hubs cost.
   */
  static boolean isWorthwhile(int hubCount, int instanceCount) {
    return 2 * hubCount < instanceCount;
  }

  /**
   * Returns a watcher of a kind whose changes are passed on to peers.
   *
   * @param kind kind of the objects
   * @param passesOnObjects whether peers receive the objects; false if these contain secrets, and
   *     peers then list them
   * @param listener receives the objects
   * @param factory creates a watcher for a listener
   */
  KindWatcher watch(
      String kind,
      boolean passesOnObjects,
      KindWatcher.Listener listener,
      Function<KindWatcher.Listener, KindWatcher> factory) {
    ChangeHistory history =
        new ChangeHistory(listener, passesOnObjects, this::isReader, loop, clock);
    KindWatcher watcher = factory.apply(history);
    history.setWatcher(watcher);
    histories.put(kind, history);
    return watcher;
  }

  /** Returns a detector that restarts a watcher, and asks the store itself for some time. */
  LagDetector lagDetector(KindWatcher watcher, String reason) {
    return new LagDetector(
        clock,
        () -> {
          store.askStore();
          watcher.restart(reason);
        });
  }

  /** Returns a handler of requests for changes that passes on all others. */
  HttpHandler handler(HttpHandler next) {
    return new PeerChangesHandler(histories, next);
  }

  /** Follows changes of the hubs. To be called several times a second. */
  void tick() {
    store.tick();
    histories.values().forEach(ChangeHistory::tick);
  }

  /**
   * Returns for how long a watch of routes or endpoints may stay without an answer, in
   * milliseconds.
   */
  long quietMillis() {
    double random = ThreadLocalRandom.current().nextDouble();
    return isRelaying()
        ? WatchWait.readerMillis(hubs.hubCount(), random)
        : WatchWait.millis(instances.count(), random);
  }

  private boolean isRelaying() {
    return isWorthwhile(hubs.hubCount(), instances.count() + 1);
  }

  private boolean isReader() {
    return hubs.hubs().contains(instance);
  }

  private Optional<String> reader() {
    List<String> selected = hubs.hubs();
    return selected.contains(instance) || !isRelaying()
        ? Optional.empty()
        : Optional.of(selected.get(0));
  }
}
