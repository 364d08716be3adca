package org.sedgeroad.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.CompleteVersions;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.peer.ConfigurationDelta;
import org.sedgeroad.peer.ConfigurationItem;
import org.sedgeroad.peer.ConfigurationPull;
import org.sedgeroad.peer.GossipMembership;
import org.sedgeroad.peer.Heartbeat;
import org.sedgeroad.peer.HeartbeatContent;
import org.sedgeroad.peer.PeerMessage;
import org.sedgeroad.peer.PeerNetwork;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoredObject;

/**
 * Keeps a replica of the configuration up to date with few calls to the store. Only the bridges of
 * a failure domain, as chosen by {@link GossipMembership}, watch the store; changes spread from
 * peer to peer.
 *
 * <p>An instance pushes each change to three peers when it first receives it. Each heartbeat
 * carries the versions up to which its sender holds the configuration completely. A receiver with
 * lower versions pulls the missing changes from the sender. An instance reads the store itself if
 * no watching instance has confirmed its versions for some time.
 */
final class ConfigurationRelay implements AutoCloseable {
  private static final long TICK_MILLIS = 250;
  private static final int FAN_OUT = 3;

  /**
   * Maximum number of objects from the answer to a pull that are pushed to peers. More objects are
   * a snapshot, which each peer pulls itself.
   */
  private static final int MAX_PUSHED_ITEMS = 16;

  private static final long PULL_TIMEOUT_MILLIS = 1_000;

  /**
   * Maximum content of one answer to a pull in characters; the requester pulls the rest next.
   * Longer changes are not pushed.
   */
  private static final int MAX_ANSWER_CHARACTERS = 256 << 10;

  /**
   * Time for which a peer's report that it can't reach the store is valid; longer than two
   * intervals of 2 s between the heartbeats of bridges to other domains.
   */
  private static final long UNREACHABLE_REPORT_MILLIS = 5_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final CompleteVersions versions = new CompleteVersions(Kinds.REPLICATED);
  private final Map<String, Long> peersWithoutStore = new ConcurrentHashMap<>();
  private final Set<String> pendingPulls = ConcurrentHashMap.newKeySet();
  // A separate timer, since reads from a store that hangs must not delay lease renewals.
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final String instance;
  private final String domain;
  private final ConfigurationReplica replica;
  private final PeerNetwork network;
  private final GossipMembership membership;
  private final MonotonicClock clock;
  private final EventLog log;
  private final ConfigurationWatcher watcher;
  private volatile FallbackReadSchedule fallbackRead;

  ConfigurationRelay(
      String instance,
      String domain,
      ObjectStore store,
      ConfigurationReplica replica,
      PeerNetwork network,
      GossipMembership membership,
      MonotonicClock clock,
      EventLog log) {
    this.instance = instance;
    this.domain = domain;
    this.replica = replica;
    this.network = network;
    this.membership = membership;
    this.clock = clock;
    this.log = log;
    this.fallbackRead = fallbackRead(2 * FallbackReadSchedule.STARTUP_MILLIS);
    this.watcher =
        new ConfigurationWatcher(store, replica, versions, timer, clock, log, this::applyWatched);
  }

  /**
   * Starts to exchange configuration with peers and to read the store.
   *
   * @param withoutSeeds whether no other instance is a seed, so that the store is read without
   *     waiting for peers
   */
  void start(boolean withoutSeeds) {
    network.handle(ConfigurationDelta.class, this::receive);
    network.handle(ConfigurationPull.class, (sender, pull) -> Optional.of(answer(pull)));
    long startDelayMillis = withoutSeeds ? 0 : FallbackReadSchedule.STARTUP_MILLIS;
    fallbackRead = fallbackRead(2 * startDelayMillis);
    timer.scheduleWithFixedDelay(this::tick, startDelayMillis, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns whether each kind is held completely up to some version. */
  boolean isComplete() {
    return versions.isComplete();
  }

  /** Returns whether this instance watches the store for its failure domain. */
  boolean isWatching() {
    return watcher.isWatching();
  }

  /** Returns the versions up to which this instance has applied every change, by kind. */
  Map<String, Long> versions() {
    return versions.toMap();
  }

  /** Returns the configuration part of a heartbeat. */
  HeartbeatContent heartbeatContent() {
    return new HeartbeatContent(versions.toMap(), target -> Map.of(), watcher.isStoreUnreachable());
  }

  @Override
  public void close() {
    watcher.close();
    timer.shutdownNow();
  }

  private FallbackReadSchedule fallbackRead(long firstMillis) {
    return new FallbackReadSchedule(
        clock, firstMillis, bound -> ThreadLocalRandom.current().nextLong(bound));
  }

  private void tick() {
    try {
      watcher.setWatching(membership.isBridge());
      if (versions.isComplete() && fallbackRead.markComplete()) {
        log.log(LogEvent.CONFIGURATION_COMPLETE, EventField.of("versions", versions.toMap()));
      }
      if (!watcher.isWatching() && fallbackRead.takeDueRead()) {
        watcher.readAll();
      }
    } catch (RuntimeException failure) {
      log.log(LogEvent.STORE_UNAVAILABLE, EventField.of("reason", failure));
    }
  }

  /**
   * Applies a change from a watch and pushes it. A watch reports the changes of a kind in version
   * order, so all changes up to this one have been applied.
   */
  private void applyWatched(StoredObject object) {
    long previous = versions.get(object.kind());
    boolean changed = replica.apply(object);
    versions.advance(object.kind(), previous, object.version());
    if (changed) {
      push(
          new ConfigurationDelta(
              object.kind(), previous, object.version(), List.of(toItem(object))),
          instance);
    }
  }

  /** Processes a heartbeat of any instance and pulls what this instance lacks. */
  void receive(Heartbeat heartbeat) {
    boolean fromOtherDomain =
        membership.domainOf(heartbeat.sender()).filter(other -> !other.equals(domain)).isPresent();
    if (fromOtherDomain && heartbeat.storeUnreachable()) {
      peersWithoutStore.put(
          heartbeat.sender(), clock.deadlineAfterMillis(UNREACHABLE_REPORT_MILLIS));
    }
    boolean behind = false;
    for (Map.Entry<String, Long> version : heartbeat.versions().entrySet()) {
      String kind = version.getKey();
      if (Kinds.REPLICATED.contains(kind) && versions.get(kind) < version.getValue()) {
        behind = true;
        pull(heartbeat.sender(), kind);
      }
    }
    boolean fromWatcher = membership.liveBridges(domain).contains(heartbeat.sender());
    if (!behind && fromWatcher && !heartbeat.storeUnreachable() && versions.isComplete()) {
      fallbackRead.recordConfirmation();
    }
  }

  private Optional<PeerMessage> receive(String sender, ConfigurationDelta delta) {
    List<ConfigurationItem> changed = apply(delta);
    if (!changed.isEmpty()) {
      push(
          new ConfigurationDelta(
              delta.kind(), delta.aboveVersion(), delta.completeVersion(), changed),
          sender);
    }
    boolean complete =
        versions.advance(delta.kind(), delta.aboveVersion(), delta.completeVersion());
    if (!complete) {
      pull(sender, delta.kind());
    }
    return Optional.empty();
  }

  /** Applies the objects of a delta and returns those that changed the replica. */
  private List<ConfigurationItem> apply(ConfigurationDelta delta) {
    List<ConfigurationItem> changed = new ArrayList<>();
    if (!Kinds.REPLICATED.contains(delta.kind())) {
      return changed;
    }
    for (ConfigurationItem item : delta.objects()) {
      try {
        StoredObject object =
            new StoredObject(
                delta.kind(),
                item.name(),
                item.version(),
                item.spec().isEmpty() ? null : mapper.readTree(item.spec()));
        if (replica.apply(object)) {
          changed.add(item);
        }
      } catch (JsonProcessingException invalid) {
        throw new IllegalArgumentException(
            delta.kind() + " object with invalid JSON: " + item.name(), invalid);
      }
    }
    return changed;
  }

  private void pull(String peer, String kind) {
    if (!pendingPulls.add(kind)) {
      return;
    }
    long above = versions.get(kind);
    network
        .call(
            peer,
            new ConfigurationPull(kind, above),
            clock.deadlineAfterMillis(PULL_TIMEOUT_MILLIS))
        .whenComplete(
            (answer, failure) -> {
              pendingPulls.remove(kind);
              if (answer instanceof ConfigurationDelta delta && delta.kind().equals(kind)) {
                applyPulled(peer, delta);
              }
            });
  }

  private void applyPulled(String peer, ConfigurationDelta delta) {
    List<ConfigurationItem> changed = apply(delta);
    versions.advance(delta.kind(), delta.aboveVersion(), delta.completeVersion());
    boolean fromOtherDomain = membership.domainOf(peer).filter(domain::equals).isEmpty();
    // If this domain can't reach the store, its other instances lack these objects too.
    if (fromOtherDomain && !changed.isEmpty() && changed.size() <= MAX_PUSHED_ITEMS) {
      push(
          new ConfigurationDelta(
              delta.kind(), delta.aboveVersion(), delta.completeVersion(), changed),
          peer);
    }
  }

  private ConfigurationDelta answer(ConfigurationPull pull) {
    // The version is read before the objects, so that these include every change up to it.
    long complete = versions.get(pull.kind());
    List<StoredObject> objects =
        replica.entries(pull.kind()).stream()
            .filter(object -> object.version() > pull.aboveVersion())
            .sorted(Comparator.comparingLong(StoredObject::version))
            .toList();
    List<ConfigurationItem> items = new ArrayList<>();
    int characters = 0;
    for (StoredObject object : objects) {
      ConfigurationItem item = toItem(object);
      characters += item.name().length() + item.spec().length();
      if (characters > MAX_ANSWER_CHARACTERS) {
        complete = items.isEmpty() ? CompleteVersions.NONE : items.get(items.size() - 1).version();
        break;
      }
      items.add(item);
    }
    return new ConfigurationDelta(pull.kind(), pull.aboveVersion(), complete, items);
  }

  /**
   * Pushes a change to three peers and to the bridges of other domains that can't reach the store.
   */
  private void push(ConfigurationDelta delta, String excludedPeer) {
    int characters = delta.objects().stream().mapToInt(item -> item.spec().length()).sum();
    if (characters > MAX_ANSWER_CHARACTERS) {
      return;
    }
    List<String> peers = new ArrayList<>(membership.liveInstances());
    peers.remove(instance);
    peers.remove(excludedPeer);
    Collections.shuffle(peers, ThreadLocalRandom.current());
    peers.stream().limit(FAN_OUT).forEach(peer -> network.send(peer, delta));
    peersWithoutStore.values().removeIf(clock::hasPassed);
    peersWithoutStore.keySet().stream()
        .filter(peer -> !peer.equals(excludedPeer))
        .forEach(peer -> network.send(peer, delta));
  }

  private static ConfigurationItem toItem(StoredObject object) {
    String spec = object.isDeleted() ? "" : object.spec().toString();
    return new ConfigurationItem(object.name(), object.version(), spec);
  }
}
