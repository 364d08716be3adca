package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/**
 * A store whose watches ask a peer for changes, and the store itself if there is no such peer or it
 * can't answer. All other calls go to the store. Watches are used on the event loop, on which the
 * store and the peer deliver their answers.
 */
final class RelayedStore implements ObjectStore {
  /**
   * Time that a peer may hold a call, in milliseconds. A peer that fails is noticed from the load
   * exchange after 0.4 s, so that the wait only bounds the number of calls between instances.
   */
  private static final long WAIT_MILLIS = 10_000;

  /**
   * Time for which the store is asked after a peer was unable to answer, in milliseconds; the peer
   * lists the objects within this time once the store is available to it.
   */
  private static final long UNAVAILABLE_MILLIS = 2_000;

  /**
   * Time for which the store is asked after this instance missed a change that others have, in
   * milliseconds; longer than a watch of the peer takes to time out.
   */
  private static final long BEHIND_MILLIS = 10_000;

  private final ObjectStore store;
  private final Supplier<Optional<String>> reader;
  private final PeerChanges peers;
  private final MonotonicClock clock;
  private final List<RelayedWatch> watches = new ArrayList<>();
  private long directUntilNanos;

  /**
   * Creates a view of a store.
   *
   * @param store the store
   * @param reader returns the peer that watches the store for this instance; empty if this instance
   *     watches it itself
   * @param peers asks peers
   * @param clock monotonic clock
   */
  RelayedStore(
      ObjectStore store,
      Supplier<Optional<String>> reader,
      PeerChanges peers,
      MonotonicClock clock) {
    this.store = store;
    this.reader = reader;
    this.peers = peers;
    this.clock = clock;
    this.directUntilNanos = clock.nanos();
  }

  /** Moves the watches whose peer is no longer the one to ask. Called several times a second. */
  void tick() {
    Optional<String> current = chosenReader();
    List.copyOf(watches).forEach(watch -> watch.moveTo(current));
  }

  /** Asks the store itself for some time, because a peer has not passed on a change. */
  void askStore() {
    directUntilNanos = clock.deadlineAfterMillis(BEHIND_MILLIS);
  }

  private Optional<String> chosenReader() {
    return clock.hasPassed(directUntilNanos) ? reader.get() : Optional.empty();
  }

  @Override
  public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
    RelayedWatch watch = new RelayedWatch(kind, afterVersion, listener);
    watches.add(watch);
    watch.next();
    return watch;
  }

  @Override
  public StoreResult<StoredObject> get(String kind, String name) {
    return store.get(kind, name);
  }

  @Override
  public StoreResult<StoredObject> getStale(String kind, String name) {
    return store.getStale(kind, name);
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return store.create(kind, name, spec);
  }

  @Override
  public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
    return store.update(kind, name, version, spec);
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long version) {
    return store.delete(kind, name, version);
  }

  @Override
  public StoreResult<ObjectList> list(String kind, String prefix) {
    return store.list(kind, prefix);
  }

  @Override
  public void renewConnections() {
    store.renewConnections();
  }

  @Override
  public void close() {
    store.close();
  }

  /** A watch that may change between peers and the store. */
  private final class RelayedWatch implements AutoCloseable {
    private final String kind;
    private final WatchListener listener;
    private Optional<String> asked = Optional.empty();
    private AutoCloseable call = () -> {};
    private long reached;
    private int generation;

    RelayedWatch(String kind, long afterVersion, WatchListener listener) {
      this.kind = kind;
      this.reached = afterVersion;
      this.listener = listener;
    }

    void next() {
      int started = ++generation;
      asked = chosenReader();
      AutoCloseable startedCall =
          asked.isPresent()
              ? peers.read(
                  asked.get(), kind, reached, WAIT_MILLIS, answer -> received(started, answer))
              : store.watch(kind, reached, new StoreAnswers(started));
      // A call that fails at once has been followed by another one.
      if (started == generation) {
        call = startedCall;
      }
    }

    /** Asks another peer, or the store; a call that waits at the store is left until its answer. */
    void moveTo(Optional<String> current) {
      if (asked.isPresent() && !asked.equals(current)) {
        closeCall();
        next();
      }
    }

    @Override
    public void close() {
      watches.remove(this);
      closeCall();
    }

    private void closeCall() {
      generation++;
      try {
        call.close();
      } catch (Exception failure) {
        throw new IllegalStateException(failure);
      }
    }

    private void received(int expected, PeerChanges.Answer answer) {
      if (expected != generation) {
        return;
      }
      if (answer instanceof PeerChanges.Answer.Changes changes) {
        changes.objects().forEach(listener::onChange);
        reached = Math.max(reached, changes.version());
        listener.onProgress(reached);
        next();
      } else if (answer instanceof PeerChanges.Answer.Expired) {
        close();
        listener.onExpired("a peer has newer objects");
      } else {
        directUntilNanos = clock.deadlineAfterMillis(UNAVAILABLE_MILLIS);
        next();
      }
    }

    /** Receives the answers of the store. */
    private final class StoreAnswers implements WatchListener {
      private final int expected;

      StoreAnswers(int expected) {
        this.expected = expected;
      }

      @Override
      public void onChange(StoredObject object) {
        if (expected == generation) {
          listener.onChange(object);
        }
      }

      @Override
      public void onProgress(long version) {
        if (expected != generation) {
          return;
        }
        reached = Math.max(reached, version);
        listener.onProgress(version);
        if (chosenReader().isPresent()) {
          closeCall();
          next();
        }
      }

      @Override
      public long quietMillis() {
        return listener.quietMillis();
      }

      @Override
      public long collectionMillis() {
        return listener.collectionMillis();
      }

      @Override
      public void onClosed(String reason) {
        if (expected == generation) {
          close();
          listener.onClosed(reason);
        }
      }

      @Override
      public void onExpired(String reason) {
        if (expected == generation) {
          close();
          listener.onExpired(reason);
        }
      }
    }
  }
}
