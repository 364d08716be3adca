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
 * Notices that the caller closes its connection while its request is still being served.
 *
 * <p>Undertow reads nothing between the end of a request and the end of its answer, so that without
 * this a closed connection shows only at a failed write. Bytes of a pipelined request are taken for
 * a protocol error; none of the clients here pipelines.
 */
public final class ConnectionCloseDetector {
  private static final AttachmentKey<AtomicReference<Runnable>> CALLBACK =
      AttachmentKey.create(AtomicReference.class);

  private ConnectionCloseDetector() {}

  /**
   * Calls back when the connection closes, until the next call for the same connection. Must be
   * called on the I/O thread after the request has been read as a whole.
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
