package org.sedgeroad.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/**
 * Runs the handlers of received messages on worker threads. All messages but lease renewals are
 * handled in order of arrival.
 */
final class MessageDispatcher implements AutoCloseable {
  private static final int MAX_QUEUED_MESSAGES = 4_096;

  /** A lease renewal waits for a write to the store and must not delay heartbeats. */
  private static final int BLOCKING_THREADS = 4;

  private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();
  private final ExecutorService nonBlocking = executor(1, "peer-messages");
  private final ExecutorService blocking = executor(BLOCKING_THREADS, "peer-requests");
  private final EventLog log;

  MessageDispatcher(EventLog log) {
    this.log = log;
  }

  @SuppressWarnings("unchecked")
  <T extends PeerMessage> void handle(Class<T> type, PeerHandler<T> handler) {
    handlers.put(type, (sender, message) -> handler.handle(sender, (T) message));
  }

  /**
   * Handles a message on a worker thread and passes on the answer of its handler, empty if there is
   * none.
   */
  void dispatch(String sender, PeerMessage message, Consumer<Optional<PeerMessage>> answers) {
    Executor executor = message instanceof LeaseRenewal ? blocking : nonBlocking;
    try {
      executor.execute(() -> answers.accept(run(sender, message)));
    } catch (RejectedExecutionException queueFull) {
      logFailure(sender, message, queueFull);
      answers.accept(Optional.empty());
    }
  }

  @Override
  public void close() {
    nonBlocking.shutdownNow();
    blocking.shutdownNow();
  }

  private Optional<PeerMessage> run(String sender, PeerMessage message) {
    PeerHandler<PeerMessage> handler = handlers.get(message.getClass());
    if (handler == null) {
      return Optional.empty();
    }
    try {
      return handler.handle(sender, message);
    } catch (RuntimeException failure) {
      logFailure(sender, message, failure);
      return Optional.empty();
    }
  }

  private void logFailure(String sender, PeerMessage message, Exception cause) {
    log.log(
        LogEvent.PEER_MESSAGE_FAILED,
        EventField.of("peer", sender),
        EventField.of("type", message.getClass().getSimpleName()),
        EventField.of("cause", cause));
  }

  private static ExecutorService executor(int threads, String name) {
    ThreadPoolExecutor executor =
        new ThreadPoolExecutor(
            threads,
            threads,
            30,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(MAX_QUEUED_MESSAGES),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    executor.allowCoreThreadTimeOut(true);
    return executor;
  }
}
