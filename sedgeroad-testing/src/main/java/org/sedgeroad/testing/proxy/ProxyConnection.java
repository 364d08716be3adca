package org.sedgeroad.testing.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One connection through the proxy: a socket to the caller and one to the target. */
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

  /** Closes the side of the target only; the caller sees a connection that stays silent. */
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

  // -----------------------------------------------------------------------

  boolean isClosed() {
    return closed.get();
  }

  /** Returns whether bytes that are due must be dropped. */
  boolean isDroppingBytes() {
    return halfOpen || proxy.faults().blackHole();
  }

  /** Returns whether bytes, or the end of the stream for none, go on; may close the connection. */
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
      if (proxy.consumeAnswerDrop()) {
        close();
        return false;
      }
    }
    return true;
  }

  long dueNanos(Direction direction, int bytes) {
    long passedNanos = proxy.throttle(direction).reserve(bytes);
    return passedNanos + proxy.faults().delayMillis(direction) * 1_000_000L;
  }

  void onDirectionEnded() {
    if (endedDirections.incrementAndGet() == 2) {
      close();
    }
  }

  /** Closes both sides after an error, except that silence hides a broken target. */
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
