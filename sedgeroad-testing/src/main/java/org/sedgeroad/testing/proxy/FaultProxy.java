package org.sedgeroad.testing.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

/**
 * A TCP proxy on 127.0.0.1 that forwards connections to one target and injects faults, which can be
 * changed at any time. Each connection is served by blocking threads of its own. Thread-safe.
 */
public final class FaultProxy implements AutoCloseable {
  private static final int CONNECT_MILLIS = 1_000;
  private static final int BACKLOG = 256;
  private static final long ACCEPTOR_JOIN_MILLIS = 1_000;

  private final InetSocketAddress target;
  private final Throttle requestThrottle;
  private final Throttle answerThrottle;
  private final Set<ProxyConnection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicLong answersToDrop = new AtomicLong();
  private final int port;
  private volatile ProxyFaults faults = ProxyFaults.NONE;
  private ServerSocket listener;
  private Thread acceptor;
  private boolean closed;

  private FaultProxy(
      int port, InetSocketAddress target, Throttle requestThrottle, Throttle answerThrottle)
      throws IOException {
    this.target = target;
    this.requestThrottle = requestThrottle;
    this.answerThrottle = answerThrottle;
    this.listener = listen(port);
    this.port = listener.getLocalPort();
  }

  /**
   * Starts a proxy on any free port, with throttles of its own that do not limit the rate.
   *
   * @param target address of the target, {@code http://IP:PORT}
   * @throws UncheckedIOException if no port can be bound
   */
  public static FaultProxy start(URI target) {
    return start(
        0,
        new InetSocketAddress(target.getHost(), target.getPort()),
        Throttle.of(0),
        Throttle.of(0));
  }

  /**
   * Starts a proxy.
   *
   * @param port port, 0 for any free one
   * @param target address of the target
   * @param requestThrottle rate limit towards the target, which other proxies may share
   * @param answerThrottle rate limit towards the caller, which other proxies may share
   * @throws UncheckedIOException if the port can't be bound
   */
  public static FaultProxy start(
      int port, InetSocketAddress target, Throttle requestThrottle, Throttle answerThrottle) {
    try {
      return new FaultProxy(port, target, requestThrottle, answerThrottle);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the address to call, {@code http://127.0.0.1:PORT}. */
  public URI address() {
    return URI.create("http://127.0.0.1:" + port);
  }

  /**
   * Closes all connections and refuses new ones, or accepts connections again.
   *
   * @param disconnected whether connections are closed and refused
   * @throws UncheckedIOException if the port can't be bound again
   */
  public synchronized void setDisconnected(boolean disconnected) {
    change(current -> current.withCut(disconnected));
    try {
      if (disconnected) {
        listener.close();
        // The port refuses connections only once the thread blocked in accept has released it.
        acceptor.join(ACCEPTOR_JOIN_MILLIS);
        connections.forEach(ProxyConnection::close);
      } else if (listener.isClosed() && !closed) {
        listener = listen(port);
      }
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Starts or ends a black hole: connections are accepted and stay open, but all bytes in both
   * directions are dropped. At the end all connections are closed, because they may have lost
   * bytes.
   */
  public synchronized void setBlackHole(boolean blackHole) {
    boolean before = faults.blackHole();
    change(current -> current.withBlackHole(blackHole));
    if (before && !blackHole) {
      connections.forEach(ProxyConnection::close);
    }
  }

  /** Sets the delay of the bytes in each direction in milliseconds, at least 0. */
  public void setDelays(long requestMillis, long answerMillis) {
    change(current -> current.withDelays(requestMillis, answerMillis));
  }

  /** Limits the bytes per second in each direction; 0 means no limit. */
  public void setThrottles(long requestBytesPerSecond, long answerBytesPerSecond) {
    requestThrottle.setBytesPerSecond(requestBytesPerSecond);
    answerThrottle.setBytesPerSecond(answerBytesPerSecond);
  }

  /**
   * Makes the present connections half-open: closes their sockets to the target, while their
   * callers see open connections without any traffic. New connections are not affected.
   */
  public void makeHalfOpen() {
    connections.forEach(ProxyConnection::makeHalfOpen);
  }

  /**
   * Drops the next answers: closes the connection of each before its first byte is forwarded.
   *
   * @param next number of answers to drop, 0 to end the fault
   */
  public void dropAnswers(long next) {
    answersToDrop.set(next);
  }

  /** Ends all faults. */
  public void restore() {
    setDisconnected(false);
    setBlackHole(false);
    setDelays(0, 0);
    setThrottles(0, 0);
    dropAnswers(0);
  }

  /**
   * Returns the number of bytes accepted for forwarding in one direction, summed over all proxies
   * that share its throttle.
   */
  public long passedBytes(Direction direction) {
    return throttle(direction).passedBytes();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  @Override
  public synchronized void close() {
    closed = true;
    setDisconnected(true);
  }

  ProxyFaults faults() {
    return faults;
  }

  Throttle throttle(Direction direction) {
    return direction == Direction.REQUEST ? requestThrottle : answerThrottle;
  }

  /** Uses up one pending drop of an answer; returns whether there was one. */
  boolean tryTakeAnswerDrop() {
    return answersToDrop.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }

  void removeConnection(ProxyConnection connection) {
    connections.remove(connection);
  }

  private synchronized void change(UnaryOperator<ProxyFaults> change) {
    faults = change.apply(faults);
  }

  private ServerSocket listen(int requestedPort) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), requestedPort), BACKLOG);
    acceptor = new Thread(() -> acceptAll(socket), "proxy-accept");
    acceptor.setDaemon(true);
    acceptor.start();
    return socket;
  }

  private void acceptAll(ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        Socket caller = socket.accept();
        Thread thread = new Thread(() -> connect(caller), "proxy-connect");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException failure) {
        // The listener was closed by setDisconnected or close.
        return;
      }
    }
  }

  private void connect(Socket caller) {
    Socket upstream = new Socket();
    try {
      caller.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      upstream.connect(target, CONNECT_MILLIS);
    } catch (IOException failure) {
      ProxyConnection.closeQuietly(caller);
      return;
    }
    ProxyConnection connection = new ProxyConnection(this, caller, upstream);
    connections.add(connection);
    if (faults.cut()) {
      connection.close();
      return;
    }
    connection.start();
  }
}
