package org.sedgeroad.testing.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A connection through the proxy, with one socket to the caller and one to the target. */
final class ProxyConnection {
  private final FaultProxy proxy;
  private final Socket caller;
  private final Socket target;
  private final Pump requests;
  private final Pump answers;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicInteger endedDirections = new AtomicInteger();
  private volatile boolean halfOpen;
  private volatile boolean awaitingAnswer;

  ProxyConnection(FaultProxy proxy, Socket caller, Socket target) {
    this.proxy = proxy;
    this.caller = caller;
    this.target = target;
    this.requests = new Pump(this, Direction.REQUEST, caller, target);
    this.answers = new Pump(this, Direction.ANSWER, target, caller);
  }

  void start() {
    requests.start();
    answers.start();
  }

  /** Closes only the socket to the target; the caller sees an open connection without traffic. */
  void makeHalfOpen() {
    halfOpen = true;
    closeQuietly(target);
  }

  void close() {
    if (closed.compareAndSet(false, true)) {
      closeQuietly(caller);
      closeQuietly(target);
      requests.stop();
      answers.stop();
      proxy.removeConnection(this);
    }
  }

  boolean isClosed() {
    return closed.get();
  }

  /** Returns whether bytes are dropped instead of being forwarded. */
  boolean isDroppingBytes() {
    return halfOpen || proxy.faults().blackHole();
  }

  /**
   * Returns whether to forward what was just read: bytes, or the end of the stream. Closes the
   * connection if the caller ends its stream while bytes are dropped, or if the answer that starts
   * with these bytes is to be dropped.
   *
   * @param bytes number of bytes read, 0 at the end of the stream
   */
  boolean shouldForward(Direction direction, int bytes) {
    if (isDroppingBytes()) {
      if (bytes == 0 && direction == Direction.REQUEST) {
        close();
      }
      return false;
    }
    if (direction == Direction.REQUEST) {
      awaitingAnswer = true;
    } else if (awaitingAnswer && bytes > 0) {
      awaitingAnswer = false;
      if (proxy.tryTakeAnswerDrop()) {
        close();
        return false;
      }
    }
    return true;
  }

  /**
   * Reserves the throttled link for a number of bytes in one direction and returns the monotonic
   * time in nanoseconds at which to forward them.
   */
  long dueNanos(Direction direction, int bytes) {
    long throttledUntilNanos = proxy.throttle(direction).reserve(bytes);
    return throttledUntilNanos + proxy.faults().delayMillis(direction) * 1_000_000L;
  }

  void onDirectionEnded() {
    if (endedDirections.incrementAndGet() == 2) {
      close();
    }
  }

  /**
   * Closes both sockets after an error, except when the socket to the target fails while bytes are
   * dropped: the caller must not notice that.
   */
  void onSocketError(Socket failed) {
    if (failed == caller || !isDroppingBytes()) {
      close();
    }
  }

  static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException failure) {
      System.getLogger(ProxyConnection.class.getName())
          .log(System.Logger.Level.DEBUG, "socket close failed", failure);
    }
  }
}
