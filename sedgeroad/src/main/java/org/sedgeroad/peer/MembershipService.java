package org.sedgeroad.peer;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/** Runs the rounds of a gossip membership and sends and receives its messages. */
public final class MembershipService implements AutoCloseable {
  private static final long LEAVING_TIMEOUT_MILLIS = 300;

  private final String instance;
  private final GossipMembership membership;
  private final PeerNetwork network;
  private final Supplier<HeartbeatContent> content;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Random random = new Random();
  private final List<Consumer<Heartbeat>> listeners = new CopyOnWriteArrayList<>();
  // A separate thread, since tasks that wait for the store must not delay heartbeats.
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "membership");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Creates the service; {@link #start} starts it.
   *
   * @param instance name of this instance
   * @param membership the membership
   * @param network sends and receives the messages
   * @param content supplies the content that other components add to the heartbeats of a round
   * @param clock monotonic clock
   * @param log event log
   */
  public MembershipService(
      String instance,
      GossipMembership membership,
      PeerNetwork network,
      Supplier<HeartbeatContent> content,
      MonotonicClock clock,
      EventLog log) {
    this.instance = instance;
    this.membership = membership;
    this.network = network;
    this.content = content;
    this.clock = clock;
    this.log = log;
  }

  /** Adds a listener that receives every heartbeat after it has been applied; it must not block. */
  public void addListener(Consumer<Heartbeat> listener) {
    listeners.add(listener);
  }

  /** Sets the message handlers and starts the rounds. */
  public void start() {
    network.handle(Heartbeat.class, this::receive);
    network.handle(
        Leaving.class,
        (sender, leaving) -> {
          membership.receiveLeaving(leaving.sender());
          logEvents();
          return Optional.of(new Acknowledgement(true));
        });
    timer.scheduleAtFixedRate(this::tick, 0, GossipMembership.ROUND_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Notifies the other instances that this one is leaving and waits at most 300 ms for their
   * answers.
   */
  public void announceLeaving() {
    membership.leave();
    long deadline = clock.deadlineAfterMillis(LEAVING_TIMEOUT_MILLIS);
    List<CompletableFuture<PeerMessage>> answers =
        membership.liveInstances().stream()
            .filter(peer -> !peer.equals(instance))
            .map(peer -> network.call(peer, new Leaving(instance), deadline))
            .toList();
    try {
      CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
          .get(LEAVING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException notAnswered) {
      // Other instances notify those that were not reached, or their heartbeat timeout expires.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private void tick() {
    try {
      membership
          .tick(clock.nanos(), random, content.get())
          .forEach(message -> network.send(message.target(), message.message()));
      logEvents();
    } catch (RuntimeException failure) {
      // An exception would cancel the rounds, and the peers would then consider this instance
      // failed.
      log.log(LogEvent.PEER_MESSAGE_FAILED, EventField.of("cause", failure));
    }
  }

  private Optional<PeerMessage> receive(String sender, Heartbeat heartbeat) {
    membership
        .receive(heartbeat, clock.nanos(), content.get())
        .ifPresent(answer -> network.send(answer.target(), answer.message()));
    logEvents();
    listeners.forEach(listener -> listener.accept(heartbeat));
    return Optional.empty();
  }

  private void logEvents() {
    for (MembershipEvent event : membership.takeEvents()) {
      log.log(
          event.event(),
          EventField.of("peer", event.instance()),
          EventField.of("peer_domain", event.domain()));
    }
  }
}
