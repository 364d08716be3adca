package org.sedgeroad.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/**
 * A peer network over TCP. One thread serves all connections with non-blocking I/O.
 *
 * <p>A connection is opened for the first message to a peer and closed when nothing has been sent
 * for some time. An answer is sent on the connection of its request.
 */
public final class TcpPeerNetwork implements PeerNetwork {
  private static final int READ_BUFFER_BYTES = 64 << 10;

  /** Far above the 31 peers of a failure domain and the bridges of 12 other domains. */
  private static final int MAX_INCOMING_CONNECTIONS = 1_024;

  private static final long CHECK_MILLIS = 1_000;
  private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** A connection that accepts no bytes for this time is closed, since it may be half open. */
  private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Longer than the mean time between two heartbeats to the same peer among 32 instances (5 s). */
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final String name;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Selector selector;
  private final ServerSocketChannel server;
  private final MessageDispatcher dispatcher;
  private final TrafficCounters counters = new TrafficCounters();
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final Set<PeerConnection> incoming = new HashSet<>();
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicLong lastRequestNumber = new AtomicLong();
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private final Thread thread = new Thread(this::run, "peer-network");
  private volatile PeerDirectory directory = instance -> Optional.empty();
  private volatile boolean closed;
  private long checkAtNanos;

  private TcpPeerNetwork(String name, MonotonicClock clock, EventLog log, InetSocketAddress address)
      throws IOException {
    this.name = name;
    this.clock = clock;
    this.log = log;
    this.dispatcher = new MessageDispatcher(log);
    this.selector = Selector.open();
    this.server = ServerSocketChannel.open();
    try {
      // Lets a restarted instance bind its port while connections of the old process are still
      // closing.
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(address).configureBlocking(false).register(selector, SelectionKey.OP_ACCEPT);
    } catch (IOException failure) {
      server.close();
      selector.close();
      throw failure;
    }
  }

  /**
   * Creates a network that is bound to an address; {@link #start} starts it.
   *
   * @param name name of this instance
   * @param address address to listen on; port 0 for any free port
   * @param clock monotonic clock
   * @param log event log
   * @throws IOException if the address can't be bound
   */
  public static TcpPeerNetwork bind(
      String name, InetSocketAddress address, MonotonicClock clock, EventLog log)
      throws IOException {
    return new TcpPeerNetwork(name, clock, log, address);
  }

  /**
   * Starts to accept connections and to send and receive messages.
   *
   * @param peers finds the current addresses of peers
   */
  public void start(PeerDirectory peers) {
    directory = peers;
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the address that peers connect to, with the actual port. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.socket().getLocalSocketAddress();
  }

  /** Returns the traffic with each peer by message class. */
  public List<PeerTraffic> traffic() {
    return counters.read();
  }

  @Override
  public void send(String instance, PeerMessage message) {
    if (instance.equals(name)) {
      dispatcher.dispatch(name, message, answer -> {});
    } else {
      enqueue(link(instance), OutgoingFrame.of(Frame.of(Frame.Kind.ONE_WAY, 0, message)));
    }
  }

  @Override
  public CompletableFuture<PeerMessage> call(
      String instance, PeerMessage request, long deadlineNanos) {
    CompletableFuture<PeerMessage> future = new CompletableFuture<>();
    if (instance.equals(name)) {
      dispatcher.dispatch(name, request, answer -> complete(future, answer));
    } else {
      long number = lastRequestNumber.incrementAndGet();
      PeerLink link = link(instance);
      link.pending.put(number, future);
      future.whenComplete((answer, failure) -> link.pending.remove(number));
      enqueue(link, OutgoingFrame.of(Frame.of(Frame.Kind.REQUEST, number, request)));
    }
    return future.orTimeout(Math.max(0, deadlineNanos - clock.nanos()), TimeUnit.NANOSECONDS);
  }

  @Override
  public <T extends PeerMessage> void handle(Class<T> type, PeerHandler<T> handler) {
    dispatcher.handle(type, handler);
  }

  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    try {
      thread.join(CHECK_MILLIS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    dispatcher.close();
  }

  private PeerLink link(String instance) {
    return links.computeIfAbsent(instance, PeerLink::new);
  }

  private void enqueue(PeerLink link, OutgoingFrame frame) {
    if (closed) {
      drop(link, frame, "closed");
      return;
    }
    link.queue.add(frame).ifPresent(dropped -> drop(link, dropped, "queue full"));
    if (link.flushScheduled.compareAndSet(false, true)) {
      execute(() -> flush(link));
    }
  }

  private void drop(PeerLink link, OutgoingFrame frame, String reason) {
    counters.dropped(link.peer, frame.messageClass());
    CompletableFuture<PeerMessage> future = link.pending.get(frame.number());
    if (frame.kind() == Frame.Kind.REQUEST && future != null) {
      future.completeExceptionally(new IOException(link.peer + ": " + reason));
    }
  }

  private void execute(Runnable task) {
    tasks.add(task);
    selector.wakeup();
  }

  private static void complete(
      CompletableFuture<PeerMessage> future, Optional<PeerMessage> answer) {
    answer.ifPresentOrElse(
        future::complete,
        () -> future.completeExceptionally(new IOException("request was not handled")));
  }

  // All methods below run on the network thread.

  private void run() {
    while (!closed) {
      try {
        selector.select(this::handleKey, CHECK_MILLIS);
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
          task.run();
        }
        if (clock.hasPassed(checkAtNanos)) {
          checkConnections(clock.nanos());
          checkAtNanos = clock.deadlineAfterMillis(CHECK_MILLIS);
        }
      } catch (IOException | RuntimeException failure) {
        log.log(LogEvent.PEER_MESSAGE_FAILED, EventField.of("cause", failure));
      }
    }
    links.values().forEach(this::flushBeforeClose);
    List.copyOf(incoming).forEach(PeerConnection::close);
    try {
      server.close();
      selector.close();
    } catch (IOException ignored) {
      // The sockets are closed at the latest when the process ends.
    }
  }

  private void flushBeforeClose(PeerLink link) {
    if (link.connection != null) {
      try {
        link.connection.write(clock.nanos());
      } catch (IOException ignored) {
        // The last messages are lost along with the connection.
      }
      link.connection.close();
    }
    link.failPending(new IOException("closed"));
  }

  private void handleKey(SelectionKey key) {
    if (key.isValid() && key.isAcceptable()) {
      accept();
      return;
    }
    PeerConnection connection = (PeerConnection) key.attachment();
    try {
      if (key.isValid() && key.isConnectable()) {
        connection.finishConnecting();
        connection.write(clock.nanos());
      }
      if (key.isValid() && key.isReadable() && !connection.read(readBuffer, clock.nanos())) {
        closeInvalid(connection, "invalid frame length");
        return;
      }
      if (key.isValid() && key.isWritable()) {
        connection.write(clock.nanos());
      }
    } catch (IOException broken) {
      disconnect(connection, broken.getMessage());
    }
  }

  private void accept() {
    try {
      SocketChannel channel = server.accept();
      if (channel != null && incoming.size() >= MAX_INCOMING_CONNECTIONS) {
        channel.close();
      } else if (channel != null) {
        PeerConnection connection = register(channel, "", new SendQueue(), SelectionKey.OP_READ);
        incoming.add(connection);
        connection.queue().addFirst(OutgoingFrame.of(Frame.greeting(name)));
        connection.write(clock.nanos());
      }
    } catch (IOException failure) {
      log.log(LogEvent.PEER_UNREACHABLE, EventField.of("cause", failure));
    }
  }

  private PeerConnection register(
      SocketChannel channel, String peer, SendQueue queue, int operations) throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    SelectionKey key = channel.register(selector, operations);
    PeerConnection connection =
        new PeerConnection(
            key,
            peer,
            queue,
            clock.nanos(),
            this::receive,
            (to, frame) -> counters.sent(to.peer(), frame.messageClass(), frame.length()));
    key.attach(connection);
    return connection;
  }

  private void flush(PeerLink link) {
    link.flushScheduled.set(false);
    PeerLink other = links.putIfAbsent(link.peer, link);
    if (other != null && other != link) {
      link.failPending(new IOException(link.peer + ": link was removed"));
      return;
    }
    Optional<InetSocketAddress> address = directory.find(link.peer);
    if (address.isEmpty()) {
      link.failPending(new IOException(link.peer + ": address is unknown"));
      return;
    }
    try {
      if (link.connection != null && !address.get().equals(link.address)) {
        link.connection.close();
        link.connection = null;
      }
      if (link.connection != null) {
        link.connection.write(clock.nanos());
      } else if (link.mayConnect(address.get(), clock.nanos())) {
        connect(link, address.get());
      } else {
        link.failPending(new IOException(link.peer + " can't be reached"));
      }
    } catch (IOException | RuntimeException failure) {
      failLink(link, String.valueOf(failure.getMessage()));
    }
  }

  private void connect(PeerLink link, InetSocketAddress address) throws IOException {
    SocketChannel channel = SocketChannel.open();
    link.address = address;
    try {
      link.queue.addFirst(OutgoingFrame.of(Frame.greeting(name)));
      link.connection = register(channel, link.peer, link.queue, SelectionKey.OP_CONNECT);
      if (channel.connect(address)) {
        link.connection.finishConnecting();
        link.connection.write(clock.nanos());
      }
    } catch (IOException | RuntimeException failure) {
      channel.close();
      throw failure;
    }
  }

  private void disconnect(PeerConnection connection, String reason) {
    connection.close();
    if (!incoming.remove(connection)) {
      PeerLink link = links.get(connection.peer());
      if (link != null && link.connection == connection) {
        failLink(link, reason);
      }
    }
  }

  private void failLink(PeerLink link, String reason) {
    if (link.connection != null) {
      link.connection.close();
      link.connection = null;
    }
    link.recordFailure(clock.nanos(), ThreadLocalRandom.current().nextDouble());
    link.failPending(new IOException(link.peer + ": " + reason));
    log.log(
        LogEvent.PEER_UNREACHABLE,
        EventField.of("peer", link.peer),
        EventField.of("reason", reason));
  }

  private void closeInvalid(PeerConnection connection, String reason) {
    log.log(
        LogEvent.PEER_FRAME_INVALID,
        EventField.of("peer", connection.peer()),
        EventField.of("reason", reason));
    disconnect(connection, reason);
  }

  private void checkConnections(long now) {
    for (PeerLink link : List.copyOf(links.values())) {
      PeerConnection connection = link.connection;
      boolean idle = link.queue.isEmpty() && link.pending.isEmpty();
      if (connection == null) {
        if (idle && directory.find(link.peer).isEmpty()) {
          links.remove(link.peer);
        }
      } else if (idle && now - connection.lastWriteNanos() > IDLE_TIMEOUT_NANOS) {
        connection.close();
        link.connection = null;
      } else if (!link.queue.isEmpty()
          && now - connection.lastWriteNanos()
              > (connection.isConnected() ? STALL_TIMEOUT_NANOS : CONNECT_TIMEOUT_NANOS)) {
        failLink(link, "no bytes written before the timeout");
      }
    }
    for (PeerConnection connection : List.copyOf(incoming)) {
      boolean stalled =
          !connection.queue().isEmpty() && now - connection.lastWriteNanos() > STALL_TIMEOUT_NANOS;
      if (stalled || now - connection.lastReadNanos() > 2 * IDLE_TIMEOUT_NANOS) {
        disconnect(connection, "idle");
      }
    }
  }

  private void receive(PeerConnection connection, byte[] content) {
    if (connection.isClosed()) {
      return;
    }
    Optional<Frame> decoded = FrameCodec.decode(content);
    if (decoded.isEmpty()) {
      closeInvalid(connection, "frame can't be decoded");
      return;
    }
    Frame frame = decoded.get();
    boolean outgoing = !incoming.contains(connection);
    if (frame.kind() == Frame.Kind.GREETING) {
      handleGreeting(connection, frame, outgoing);
      return;
    }
    if (connection.peer().isEmpty()) {
      closeInvalid(connection, "first frame is not a greeting");
      return;
    }
    // Unknown senders are counted under one name, so that invented names can't exhaust memory.
    boolean known = outgoing || directory.find(connection.peer()).isPresent();
    counters.received(
        known ? connection.peer() : "unknown",
        OutgoingFrame.classOf(frame),
        content.length + FrameAssembler.HEADER_LENGTH);
    if (frame.message().isEmpty() && frame.type() != 0) {
      log.log(
          LogEvent.PEER_TYPE_UNKNOWN,
          EventField.of("peer", connection.peer()),
          EventField.of("type", frame.type()));
    }
    if (frame.kind() == Frame.Kind.ANSWER) {
      PeerLink link = links.get(connection.peer());
      CompletableFuture<PeerMessage> future =
          link == null ? null : link.pending.get(frame.number());
      if (outgoing && future != null) {
        complete(future, frame.message());
      }
    } else {
      handleMessage(connection, frame);
    }
  }

  private void handleGreeting(PeerConnection connection, Frame greeting, boolean outgoing) {
    if (greeting.number() != FrameCodec.PROTOCOL_VERSION || greeting.sender().isEmpty()) {
      closeInvalid(connection, "invalid greeting with protocol version " + greeting.number());
    } else if (!outgoing) {
      connection.setPeer(greeting.sender());
    } else {
      PeerLink link = links.get(connection.peer());
      // A link to a seed is named by its address, since the name of the seed is still unknown.
      boolean seed = PeerAddress.parse(connection.peer()).isPresent();
      if (!seed && !greeting.sender().equals(connection.peer())) {
        disconnect(connection, "address belongs to " + greeting.sender());
      } else if (link != null) {
        link.recordSuccess();
        log.log(LogEvent.PEER_CONNECTED, EventField.of("peer", greeting.sender()));
      }
    }
  }

  private void handleMessage(PeerConnection connection, Frame frame) {
    if (frame.kind() == Frame.Kind.ONE_WAY) {
      frame
          .message()
          .ifPresent(message -> dispatcher.dispatch(connection.peer(), message, answer -> {}));
      return;
    }
    if (frame.message().isEmpty()) {
      answer(connection, Frame.emptyAnswer(frame.number()));
      return;
    }
    dispatcher.dispatch(
        connection.peer(),
        frame.message().get(),
        answer -> answer(connection, toAnswerFrame(frame.number(), answer)));
  }

  private static Frame toAnswerFrame(long number, Optional<PeerMessage> answer) {
    return answer
        .map(message -> Frame.of(Frame.Kind.ANSWER, number, message))
        .orElseGet(() -> Frame.emptyAnswer(number));
  }

  /** Sends an answer; may be called on any thread. */
  private void answer(PeerConnection connection, Frame frame) {
    OutgoingFrame encoded = OutgoingFrame.of(frame);
    execute(
        () -> {
          Optional<OutgoingFrame> dropped = connection.queue().add(encoded);
          if (dropped.isPresent() || connection.isClosed()) {
            counters.dropped(connection.peer(), encoded.messageClass());
            return;
          }
          try {
            connection.write(clock.nanos());
          } catch (IOException broken) {
            disconnect(connection, broken.getMessage());
          }
        });
  }
}
