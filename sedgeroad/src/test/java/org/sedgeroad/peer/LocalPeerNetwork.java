package org.sedgeroad.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** A peer network without peers: an instance reaches only itself. Thread-safe. */
public final class LocalPeerNetwork implements PeerNetwork {
  private final Map<Class<?>, PeerHandler<? extends PeerMessage>> handlers =
      new ConcurrentHashMap<>();
  private final String self;

  private LocalPeerNetwork(String self) {
    this.self = self;
  }

  /** Returns the network of an instance; it has no handlers yet. */
  public static LocalPeerNetwork of(String self) {
    return new LocalPeerNetwork(self);
  }

  @Override
  public void send(String instance, PeerMessage message) {
    if (instance.equals(self)) {
      answer(message);
    }
  }

  @Override
  public CompletableFuture<PeerMessage> call(
      String instance, PeerMessage request, long deadlineNanos) {
    if (!instance.equals(self)) {
      return CompletableFuture.failedFuture(
          new IllegalArgumentException("unknown peer " + instance));
    }
    return answer(request)
        .map(CompletableFuture::completedFuture)
        .orElseGet(
            () -> CompletableFuture.failedFuture(new IllegalStateException("request not handled")));
  }

  @Override
  public <T extends PeerMessage> void handle(Class<T> type, PeerHandler<T> handler) {
    handlers.put(type, handler);
  }

  @Override
  public void close() {
    handlers.clear();
  }

  private Optional<PeerMessage> answer(PeerMessage message) {
    PeerHandler<? extends PeerMessage> handler = handlers.get(message.getClass());
    return handler == null ? Optional.empty() : handle(handler, message);
  }

  @SuppressWarnings("unchecked")
  private <T extends PeerMessage> Optional<PeerMessage> handle(
      PeerHandler<T> handler, PeerMessage message) {
    // Each handler is stored under the class of the messages that it accepts.
    return handler.handle(self, (T) message);
  }
}
