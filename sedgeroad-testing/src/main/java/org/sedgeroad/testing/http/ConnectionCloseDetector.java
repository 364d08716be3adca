package org.sedgeroad.testing.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that the caller closes its connection while its request is still being served.
 *
 * <p>Undertow reads nothing between the end of a request and the end of its answer, so that without
 * this class a closed connection would be noticed only when a write fails. Bytes of a pipelined
 * request are treated as a protocol error, which closes the connection; none of the callers of the
 * stand-ins pipelines requests.
 */
public final class ConnectionCloseDetector {
  private static final AttachmentKey<AtomicReference<Runnable>> CALLBACK =
      AttachmentKey.create(AtomicReference.class);

  private ConnectionCloseDetector() {}

  /**
   * Registers a callback for the closing of the connection, which replaces an earlier one for the
   * same connection; calls it at once if the connection is closed already. Must be called on the
   * I/O thread after the whole request has been read.
   */
  public static void start(HttpServerExchange exchange, Runnable onClosed) {
    if (!exchange.getConnection().isOpen()) {
      onClosed.run();
      return;
    }
    callback(exchange.getConnection()).set(onClosed);
    if (exchange.getConnection() instanceof HttpServerConnection connection) {
      ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
      StreamSourceConduit conduit = connection.getOriginalSourceConduit();
      source.setReadListener(channel -> read(connection, conduit, exchange));
      conduit.resumeReads();
    }
  }

  private static AtomicReference<Runnable> callback(ServerConnection connection) {
    AtomicReference<Runnable> callback = connection.getAttachment(CALLBACK);
    if (callback == null) {
      AtomicReference<Runnable> created = new AtomicReference<>();
      connection.putAttachment(CALLBACK, created);
      connection.addCloseListener(closed -> created.get().run());
      callback = created;
    }
    return callback;
  }

  private static void read(
      HttpServerConnection connection, StreamSourceConduit conduit, HttpServerExchange exchange) {
    if (exchange.isComplete()) {
      return;
    }
    try {
      if (conduit.read(ByteBuffer.allocate(1)) != 0) {
        IoUtils.safeClose(connection);
      }
    } catch (IOException failure) {
      IoUtils.safeClose(connection);
    }
  }
}
