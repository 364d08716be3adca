package org.sedgeroad.http;

import io.undertow.client.ClientResponse;
import java.nio.ByteBuffer;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.sedgeroad.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * A request in progress and its answer. Sending and receiving run on the connection's I/O thread;
 * {@link #close} may be called from any thread.
 *
 * <p>The request has one {@link HttpAttempt} at a time. What an earlier one still reports, such as
 * a failure that is reported twice, is ignored.
 */
public final class HttpExchange implements AutoCloseable {
  private final Connections connections;
  private final HttpCall call;
  private final HttpListener listener;
  private final MonotonicClock clock;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicReference<HttpAttempt> current = new AtomicReference<>();
  private volatile boolean sendStarted;

  HttpExchange(
      Connections connections, HttpCall call, HttpListener listener, MonotonicClock clock) {
    this.connections = connections;
    this.call = call;
    this.listener = listener;
    this.clock = clock;
  }

  HttpCall call() {
    return call;
  }

  Connections connections() {
    return connections;
  }

  /** Cancels the exchange by closing its connection. Has no effect once the exchange has ended. */
  @Override
  public void close() {
    fail(
        current.get() == null
            ? new HttpFailure.NotSent("cancelled")
            : new HttpFailure.Broken("cancelled"));
  }

  /**
   * Fails the exchange if it has no connection after a timeout.
   *
   * @param timeoutMillis maximum wait in milliseconds; the wait ends at the deadline of the call if
   *     that is earlier
   * @param thread I/O thread on which the check runs
   */
  void startConnectTimer(long timeoutMillis, XnioIoThread thread) {
    thread.executeAfter(
        () -> {
          if (current.get() == null) {
            fail(new HttpFailure.NotSent("connection timed out"));
          }
        },
        Math.min(timeoutMillis, remainingMillis()),
        TimeUnit.MILLISECONDS);
  }

  /**
   * Sends the request on a connection.
   *
   * @param opened the connection
   * @param pooled whether the connection was taken from the pool
   */
  void send(ValidatedConnection opened, boolean pooled) {
    if (ended.get()) {
      // The exchange ended before a byte was sent on this connection, so the connection can serve
      // another request.
      connections.release(call.uri(), opened, null);
      return;
    }
    if (pooled && !(opened.client().isOpen() && opened.source().isIdle())) {
      IoUtils.safeClose(opened.client());
      connect();
      return;
    }
    HttpAttempt attempt = new HttpAttempt(this, opened, pooled, clock);
    current.set(attempt);
    if (ended.get()) {
      attempt.close();
      return;
    }
    try {
      attempt.startDeadlineTimer(remainingMillis());
    } catch (RejectedExecutionException rejected) {
      fail(HttpFailure.CLIENT_CLOSING);
      return;
    }
    sendStarted = true;
    connections.guard(this);
    attempt.send();
  }

  boolean hasEnded() {
    return ended.get();
  }

  /** Returns whether an attempt may still report what it receives. */
  boolean isCurrent(HttpAttempt attempt) {
    return current.get() == attempt && !ended.get();
  }

  /** Fails the exchange if the present answer is longer than an answer can be. */
  void checkSize() {
    HttpAttempt attempt = current.get();
    if (attempt != null && !ended.get()) {
      attempt.checkSize();
    }
  }

  /** Passes on the head of the answer to an attempt. */
  void headReceived(HttpAttempt attempt, HttpHead head) {
    if (isCurrent(attempt)) {
      listener.onHead(head);
    }
  }

  /** Passes on a part of the body of the answer to an attempt. */
  void bytesReceived(HttpAttempt attempt, ByteBuffer bytes) {
    if (isCurrent(attempt)) {
      listener.onBytes(bytes);
    }
  }

  /** Returns the largest body that the listener takes, in bytes. */
  long maximumBodyBytes() {
    return listener.maximumBodyBytes();
  }

  /** Ends the exchange after a whole answer to an attempt. */
  void answered(HttpAttempt attempt, ClientResponse answer) {
    if (current.get() == attempt && ended.compareAndSet(false, true)) {
      attempt.end(!call.newConnection() && listener.allowsReuse(), answer);
      listener.onEnd();
    }
  }

  /**
   * Handles a failed attempt. The server may have closed a pooled connection while it was idle, so
   * a repeatable request that was sent on a pooled connection is sent once more, on a new
   * connection. All others fail, because the first attempt may have taken effect: whether they are
   * repeated is decided by the caller, which knows what the request does.
   */
  void attemptFailed(HttpAttempt attempt, HttpFailure failure) {
    if (!isCurrent(attempt)) {
      return;
    }
    boolean repeat = attempt.isPooled() && call.repeatable() && !attempt.hasReceivedHead();
    if (!repeat) {
      fail(failure);
    } else if (current.compareAndSet(attempt, null)) {
      attempt.close();
      connect();
    }
  }

  private void connect() {
    try {
      connections.connect(this);
    } catch (RejectedExecutionException rejected) {
      fail(HttpFailure.CLIENT_CLOSING);
    }
  }

  /** Fails the exchange, unless the attempt is not the present one. */
  void fail(HttpAttempt attempt, HttpFailure failure) {
    if (isCurrent(attempt)) {
      fail(failure);
    }
  }

  /** Ends the exchange with a failure, unless it has ended already. */
  void fail(HttpFailure failure) {
    if (ended.compareAndSet(false, true)) {
      HttpAttempt attempt = current.get();
      if (attempt != null) {
        attempt.close();
      }
      // If a retry fails before it sends the request, the failure is NotSent, although the first
      // attempt may have reached the server.
      boolean mayHaveBeenSent = sendStarted && failure instanceof HttpFailure.NotSent;
      listener.onFailure(mayHaveBeenSent ? new HttpFailure.Broken(failure.reason()) : failure);
    }
  }

  private long remainingMillis() {
    return Math.max(1, (call.deadlineNanos() - clock.nanos()) / 1_000_000L);
  }
}
