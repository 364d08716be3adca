package org.sedgeroad.presence;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Collection;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/**
 * Sends and receives load messages as UDP datagrams. Messages are sent on the event loop and
 * received on a thread of their own, which passes them on to the event loop.
 */
public final class LoadExchange implements AutoCloseable {
  /** Size of the receive buffer, in bytes: the largest datagram. */
  private static final int DATAGRAM_BYTES = 64 * 1024;

  /** Time between two log lines about failures, in milliseconds. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private final DatagramSocket socket;
  private final Consumer<LoadMessage> receiver;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Thread reader;
  private final Queue<LoadMessage> received = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean deliveryScheduled = new AtomicBoolean();
  private long nextSendLogNanos;
  private long failedSends;
  private long nextReceiveLogNanos;
  private long invalidDatagrams;

  private LoadExchange(
      DatagramSocket socket,
      Consumer<LoadMessage> receiver,
      EventLoop loop,
      MonotonicClock clock,
      EventLog log) {
    this.socket = socket;
    this.receiver = receiver;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.reader = new Thread(this::receiveMessages, "load-messages");
    reader.setDaemon(true);
    nextSendLogNanos = clock.nanos();
    nextReceiveLogNanos = nextSendLogNanos;
  }

  /**
   * Opens the socket and starts the receiving thread.
   *
   * @param address local address, not null
   * @param receiver receives each message on the event loop, not null
   * @param loop event loop, not null
   * @param clock monotonic clock, not null
   * @param log receives failures to send or to decode, at most one line a second each, not null
   * @throws IllegalStateException if the address can't be bound
   */
  public static LoadExchange open(
      InetSocketAddress address,
      Consumer<LoadMessage> receiver,
      EventLoop loop,
      MonotonicClock clock,
      EventLog log) {
    try {
      LoadExchange exchange =
          new LoadExchange(new DatagramSocket(address), receiver, loop, clock, log);
      exchange.reader.start();
      return exchange;
    } catch (SocketException failure) {
      throw new IllegalStateException("cannot bind " + address, failure);
    }
  }

  /** Sends a message to each address. A failure to send is logged. Used on the event loop. */
  public void send(LoadMessage message, Collection<InetSocketAddress> peers) {
    try {
      byte[] bytes = LoadMessageCodec.encode(message);
      for (InetSocketAddress peer : peers) {
        send(bytes, peer);
      }
    } catch (IOException failure) {
      logFailedSend(failure);
    }
  }

  private void send(byte[] bytes, InetSocketAddress peer) {
    try {
      socket.send(new DatagramPacket(bytes, bytes.length, peer));
    } catch (IOException failure) {
      logFailedSend(failure);
    }
  }

  private void logFailedSend(IOException failure) {
    failedSends++;
    if (clock.hasPassed(nextSendLogNanos) && !socket.isClosed()) {
      nextSendLogNanos = clock.deadlineAfterMillis(LOG_INTERVAL_MILLIS);
      log.log(
          LogEvent.PEER_UNREACHABLE,
          EventField.of("reason", failure.getMessage()),
          EventField.of("failed_sends", failedSends));
    }
  }

  @Override
  public void close() {
    socket.close();
  }

  private void receiveMessages() {
    byte[] buffer = new byte[DATAGRAM_BYTES];
    while (!socket.isClosed()) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        received.add(LoadMessageCodec.decode(packet.getData(), packet.getLength()));
        if (!deliveryScheduled.getAndSet(true)) {
          loop.execute(this::deliver);
        }
      } catch (IOException failure) {
        logInvalid(packet, failure);
      }
    }
  }

  private void logInvalid(DatagramPacket packet, IOException failure) {
    invalidDatagrams++;
    if (!socket.isClosed() && clock.hasPassed(nextReceiveLogNanos)) {
      nextReceiveLogNanos = clock.deadlineAfterMillis(LOG_INTERVAL_MILLIS);
      log.log(
          LogEvent.PEER_FRAME_INVALID,
          EventField.of("peer", packet.getSocketAddress()),
          EventField.of("reason", failure.getMessage()),
          EventField.of("invalid_datagrams", invalidDatagrams));
    }
  }

  /** Passes on all messages that have arrived, so that one wake-up of the event loop serves all. */
  private void deliver() {
    deliveryScheduled.set(false);
    for (LoadMessage next = received.poll(); next != null; next = received.poll()) {
      receiver.accept(next);
    }
  }
}
