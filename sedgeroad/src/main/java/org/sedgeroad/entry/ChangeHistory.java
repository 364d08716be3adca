package org.sedgeroad.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.StoredObject;

/**
 * The most recent changes of one kind, for instances that don't watch the store themselves. Passes
 * objects on to a listener. Used on the event loop.
 */
final class ChangeHistory implements KindWatcher.Listener {
  /**
   * Number of changes that are kept. An instance that asks for older ones lists the objects; a
   * restart of all instances and endpoints of two years would need more, about 3,600.
   */
  private static final int MAXIMUM_CHANGES = 1_000;

  /**
   * Time for which changes are collected before they are passed on, in milliseconds: the changes of
   * one answer of the store arrive together.
   */
  private static final long COLLECTION_MILLIS = 10;

  private record Waiting(long afterVersion, Consumer<PeerChanges.Answer> result) {}

  private final KindWatcher.Listener listener;
  private final boolean passesOnObjects;
  private final BooleanSupplier isReader;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Deque<StoredObject> changes = new ArrayDeque<>();
  private final List<Waiting> waitingReads = new ArrayList<>();
  private KindWatcher watcher;

  /** Version of the store after which {@link #changes} is complete. */
  private long startVersion;

  private boolean answerScheduled;

  /**
   * Creates an empty history.
   *
   * @param listener receives all objects
   * @param passesOnObjects whether other instances receive the objects; otherwise they only learn
   *     that there is a change, because the objects contain secrets
   * @param isReader returns whether this instance watches the store for others
   * @param loop event loop
   * @param clock monotonic clock
   */
  ChangeHistory(
      KindWatcher.Listener listener,
      boolean passesOnObjects,
      BooleanSupplier isReader,
      EventLoop loop,
      MonotonicClock clock) {
    this.listener = listener;
    this.passesOnObjects = passesOnObjects;
    this.isReader = isReader;
    this.loop = loop;
    this.clock = clock;
  }

  /** Sets the watcher that delivers the objects. */
  void setWatcher(KindWatcher next) {
    watcher = next;
  }

  @Override
  public void listed(List<StoredObject> objects) {
    // The list does not name the objects that were deleted since.
    changes.clear();
    startVersion = watcher.version();
    scheduleAnswers();
    listener.listed(objects);
  }

  @Override
  public void changed(StoredObject object) {
    changes.addLast(object);
    if (changes.size() > MAXIMUM_CHANGES) {
      startVersion = changes.removeFirst().version();
    }
    scheduleAnswers();
    listener.changed(object);
  }

  /** Answers a peer that asks for changes, at once or when there is one. */
  void read(long afterVersion, long waitMillis, Consumer<PeerChanges.Answer> result) {
    PeerChanges.Answer answer = answer(afterVersion);
    if (!isEmpty(answer)) {
      result.accept(answer);
      return;
    }
    Waiting waiting = new Waiting(afterVersion, result);
    waitingReads.add(waiting);
    loop.scheduleAt(
        clock.deadlineAfterMillis(waitMillis),
        () -> {
          if (waitingReads.remove(waiting)) {
            result.accept(answer(afterVersion));
          }
        });
  }

  /**
   * Answers the peers that wait if this instance can't tell them of changes any more. To be called
   * several times a second.
   */
  void tick() {
    if (!isServing()) {
      answerWaiting();
    }
  }

  private boolean isServing() {
    return isReader.getAsBoolean() && watcher.isConnected();
  }

  private void answerWaiting() {
    for (Waiting waiting : List.copyOf(waitingReads)) {
      PeerChanges.Answer answer = answer(waiting.afterVersion());
      if (!isEmpty(answer) && waitingReads.remove(waiting)) {
        waiting.result().accept(answer);
      }
    }
  }

  private void scheduleAnswers() {
    if (!answerScheduled && !waitingReads.isEmpty()) {
      answerScheduled = true;
      loop.scheduleAt(
          clock.deadlineAfterMillis(COLLECTION_MILLIS),
          () -> {
            answerScheduled = false;
            answerWaiting();
          });
    }
  }

  private PeerChanges.Answer answer(long afterVersion) {
    if (!isServing()) {
      return new PeerChanges.Answer.Unavailable("not a reader that reaches the store");
    }
    if (afterVersion < startVersion) {
      return new PeerChanges.Answer.Expired();
    }
    List<StoredObject> newer =
        changes.stream().filter(object -> object.version() > afterVersion).toList();
    if (!newer.isEmpty() && !passesOnObjects) {
      return new PeerChanges.Answer.Expired();
    }
    return new PeerChanges.Answer.Changes(Math.max(afterVersion, watcher.version()), newer);
  }

  private static boolean isEmpty(PeerChanges.Answer answer) {
    return answer instanceof PeerChanges.Answer.Changes found && found.objects().isEmpty();
  }
}
