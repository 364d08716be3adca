package org.sedgeroad.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.placement.VirtualTime;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/** Guards against changes that a member misses because the hub that watches for it fails. */
class RelayedStoreTest {
  private static final String KIND = "servers";

  /** Time after which the load exchange selects another hub. */
  private static final long HUB_SILENCE_MILLIS = 400;

  private final VirtualTime time = new VirtualTime();
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final List<StoredObject> history = new ArrayList<>();
  private final List<ClientStore> clients = new ArrayList<>();
  private final Set<String> frozen = new HashSet<>();
  private final Set<String> killed = new HashSet<>();
  private long storeVersion = 100;
  private Optional<String> hub = Optional.of("first");
  private final Hub first = new Hub("first", true);
  private final Hub second = new Hub("second", true);
  private final ClientStore memberStore = new ClientStore();
  private final RelayedStore relayed =
      new RelayedStore(memberStore, () -> hub, this::askPeer, time);
  private final Contents member = new Contents();
  private final KindWatcher memberWatcher = watcher(relayed, member);
  private final LagDetector lag =
      new LagDetector(
          time,
          () -> {
            relayed.askStore();
            memberWatcher.restart("a peer has newer endpoints");
          });

  /** The objects that an instance knows. */
  private static final class Contents implements KindWatcher.Listener {
    private final TreeMap<String, StoredObject> objects = new TreeMap<>();

    @Override
    public void listed(List<StoredObject> listed) {
      objects.clear();
      listed.forEach(this::changed);
    }

    @Override
    public void changed(StoredObject object) {
      if (object.isDeleted()) {
        objects.remove(object.name());
      } else {
        objects.put(object.name(), object);
      }
    }
  }

  private final class Hub {
    final ClientStore store = new ClientStore();
    final ChangeHistory history;
    final KindWatcher watcher;

    Hub(String name, boolean passesOnObjects) {
      history = new ChangeHistory(new Contents(), passesOnObjects, () -> true, time, time);
      watcher = watcher(store, history);
      history.setWatcher(watcher);
    }
  }

  private record OpenWatch(WatchListener listener, long[] reached) {}

  /** The store as one instance reaches it. */
  private final class ClientStore implements ObjectStore {
    private final List<OpenWatch> watches = new ArrayList<>();
    private boolean available = true;
    private boolean silent;
    private int lists;
    private int watchCalls;

    ClientStore() {
      clients.add(this);
    }

    /** Ends the watches, and refuses calls. */
    void becomeUnavailable() {
      available = false;
      closeAll();
    }

    void closeAll() {
      List<OpenWatch> open = List.copyOf(watches);
      watches.clear();
      open.forEach(watch -> watch.listener().onClosed("reset"));
    }

    /** Ends the watches with the answer that changes were discarded. */
    void expireAll() {
      List<OpenWatch> open = List.copyOf(watches);
      watches.clear();
      open.forEach(watch -> watch.listener().onExpired("dropped"));
    }

    void deliver() {
      for (OpenWatch watch : List.copyOf(watches)) {
        List<StoredObject> newer =
            history.stream().filter(object -> object.version() > watch.reached()[0]).toList();
        if (!silent && !newer.isEmpty() && watches.contains(watch)) {
          watch.reached()[0] = storeVersion;
          newer.forEach(watch.listener()::onChange);
          watch.listener().onProgress(storeVersion);
        }
      }
    }

    @Override
    public StoreResult<ObjectList> list(String kind, String prefix) {
      lists++;
      return available
          ? new StoreResult.Done<>(new ObjectList(storeVersion, List.copyOf(objects.values())))
          : new StoreResult.Unavailable<>("down");
    }

    @Override
    public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
      watchCalls++;
      OpenWatch watch = new OpenWatch(listener, new long[] {afterVersion});
      watches.add(watch);
      time.execute(available ? this::deliver : this::closeAll);
      return () -> watches.remove(watch);
    }

    @Override
    public StoreResult<StoredObject> get(String kind, String name) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<StoredObject> delete(String kind, String name, long version) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
  }

  private KindWatcher watcher(ObjectStore store, KindWatcher.Listener listener) {
    return new KindWatcher(
        store, KIND, Runnable::run, time, time, EventLog.of("test"), () -> 4_000, listener);
  }

  private AutoCloseable askPeer(
      String name, String kind, long after, long waitMillis, Consumer<PeerChanges.Answer> result) {
    boolean[] open = {true};
    Hub asked = name.equals("first") ? first : second;
    if (killed.contains(name)) {
      time.after(1, () -> result.accept(new PeerChanges.Answer.Unavailable("refused")));
    } else if (!frozen.contains(name)) {
      asked.history.read(
          after,
          waitMillis,
          answer -> {
            if (open[0] && !frozen.contains(name)) {
              boolean lost = killed.contains(name);
              result.accept(lost ? new PeerChanges.Answer.Unavailable("reset") : answer);
            }
          });
    }
    return () -> open[0] = false;
  }

  private void put(String name) {
    storeVersion++;
    StoredObject object =
        new StoredObject(KIND, name, storeVersion, JsonNodeFactory.instance.objectNode());
    objects.put(name, object);
    history.add(object);
    clients.forEach(ClientStore::deliver);
  }

  private void delete(String name) {
    storeVersion++;
    objects.remove(name);
    history.add(new StoredObject(KIND, name, storeVersion, null));
    clients.forEach(ClientStore::deliver);
  }

  private void run(long millis) {
    double end = time.nanos() / 1e6 + millis;
    while (time.nanos() / 1e6 < end - 0.5) {
      relayed.tick();
      first.history.tick();
      second.history.tick();
      long others = Math.max(first.watcher.newestChange(), second.watcher.newestChange());
      lag.check(others > memberWatcher.version());
      time.runUntil(Math.min(end, time.nanos() / 1e6 + 50));
    }
  }

  @BeforeEach
  void start() {
    put("worker-1");
    first.watcher.start();
    second.watcher.start();
    run(50);
    memberWatcher.start();
    run(50);
  }

  private Set<String> known() {
    return member.objects.keySet();
  }

  @Nested
  class HealthyHub {
    @Test
    void passesOnChangesWithoutCallsToTheStore() {
      put("worker-2");
      run(50);
      delete("worker-1");
      run(50);
      assertEquals(Set.of("worker-2"), known());
      run(60_000);
      assertEquals(1, memberStore.lists);
      assertEquals(0, memberStore.watchCalls);
    }

    @Test
    void doesNotPassOnObjectsThatContainSecrets() {
      Hub secretive = new Hub("secretive", false);
      secretive.watcher.start();
      run(50);
      List<PeerChanges.Answer> answers = new ArrayList<>();
      secretive.history.read(secretive.watcher.version(), 10_000, answers::add);
      put("worker-2");
      run(50);
      assertEquals(List.of(new PeerChanges.Answer.Expired()), answers);
    }
  }

  @Nested
  class Failure {
    @Test
    void ofAHubThatIsKilledDuringAChange() {
      killed.add("first");
      put("worker-2");
      run(100);
      assertTrue(known().contains("worker-2"));
      hub = Optional.of("second");
      put("worker-3");
      run(100);
      assertTrue(known().contains("worker-3"));
    }

    @Test
    void ofAHubThatIsFrozen() {
      frozen.add("first");
      put("worker-2");
      run(HUB_SILENCE_MILLIS);
      hub = Optional.of("second");
      run(100);
      assertTrue(known().contains("worker-2"));
    }

    @Test
    void ofAHubThatIsCutOffFromTheStore() {
      first.store.silent = true;
      put("worker-2");
      run(700);
      assertTrue(known().contains("worker-2"));
      put("worker-3");
      run(50);
      assertTrue(known().contains("worker-3"));
    }

    @Test
    void ofAllConnectionsToTheStoreUntilAHubNotices() {
      clients.forEach(client -> client.silent = true);
      put("worker-2");
      run(1_000);
      second.store.silent = false;
      second.store.closeAll();
      memberStore.silent = false;
      run(1_000);
      assertTrue(known().contains("worker-2"));
    }

    @Test
    void ofAStoreThatDropsItsHistory() {
      first.store.silent = true;
      second.store.silent = true;
      put("worker-2");
      delete("worker-1");
      history.clear();
      first.store.silent = false;
      second.store.silent = false;
      first.store.expireAll();
      second.store.expireAll();
      run(100);
      assertEquals(Set.of("worker-2"), known());
    }

    @Test
    void ofAStoreThatIsUnavailableToAll() {
      clients.forEach(ClientStore::becomeUnavailable);
      run(5_000);
      assertEquals(Set.of("worker-1"), known());
      put("worker-2");
      clients.forEach(client -> client.available = true);
      run(2_500);
      assertTrue(known().contains("worker-2"));
    }

    /** The hub has the objects, but only the store can tell a new member of all of them. */
    @Test
    void ofAStoreThatIsUnavailableToAMemberAtItsStart() {
      ClientStore store = new ClientStore();
      store.becomeUnavailable();
      Contents started = new Contents();
      KindWatcher watcher =
          watcher(
              new RelayedStore(store, () -> hub, RelayedStoreTest.this::askPeer, time), started);
      watcher.start();
      run(5_000);
      assertTrue(started.objects.isEmpty());
      store.available = true;
      run(2_500);
      put("worker-2");
      run(50);
      assertEquals(Set.of("worker-1", "worker-2"), started.objects.keySet());
      assertEquals(0, store.watchCalls);
    }
  }
}
