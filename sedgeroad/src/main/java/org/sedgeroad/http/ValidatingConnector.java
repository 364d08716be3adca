package org.sedgeroad.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.Option;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Opens connections whose answers are validated before Undertow's client parses them.
 *
 * <p>Undertow's client offers no access to the bytes of its connections, except through the I/O
 * thread that opens them. This class is passed to the client as such a thread, but is never
 * started: the connections belong to the I/O threads of the worker.
 */
final class ValidatingConnector extends XnioIoThread {
  private static final Option<Opening> OPENING =
      Option.simple(ValidatingConnector.class, "OPENING", Opening.class);

  /** Creates a connector for the I/O threads of a worker. */
  ValidatingConnector(XnioWorker worker) {
    super(worker, 0);
  }

  /**
   * Opens a connection.
   *
   * @param uri any address on the server
   * @param buffers buffers for the bytes of answers
   * @param callback receives the connection or the failure, on an I/O thread
   */
  void connect(URI uri, ByteBufferPool buffers, ClientCallback<ValidatedConnection> callback) {
    Opening opening = new Opening(callback);
    OptionMap options =
        OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(UndertowOptions.ENABLE_STATISTICS, true)
            .set(OPENING, opening)
            .getMap();
    UndertowClient.getInstance().connect(opening, uri, this, buffers, options);
  }

  @Override
  public IoFuture<StreamConnection> openStreamConnection(
      SocketAddress destination,
      ChannelListener<? super StreamConnection> openListener,
      OptionMap options) {
    Opening opening = options.get(OPENING);
    ChannelListener<StreamConnection> listener =
        connection -> {
          opening.validate(connection);
          openListener.handleEvent(connection);
        };
    return getWorker().getIoThread().openStreamConnection(destination, listener, options);
  }

  @Override
  public void execute(Runnable task) {
    getWorker().getIoThread().execute(task);
  }

  @Override
  public Key executeAfter(Runnable task, long time, TimeUnit unit) {
    return getWorker().getIoThread().executeAfter(task, time, unit);
  }

  @Override
  public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
    return getWorker().getIoThread().executeAtInterval(task, time, unit);
  }

  /** A connection that is being opened. */
  private static final class Opening implements ClientCallback<ClientConnection> {
    private final ClientCallback<ValidatedConnection> callback;
    private volatile ValidatedSource source;

    Opening(ClientCallback<ValidatedConnection> callback) {
      this.callback = callback;
    }

    void validate(StreamConnection connection) {
      source = new ValidatedSource(connection.getSourceChannel().getConduit());
      connection.getSourceChannel().setConduit(source);
    }

    @Override
    public void completed(ClientConnection client) {
      callback.completed(new ValidatedConnection(client, source));
    }

    @Override
    public void failed(IOException failure) {
      callback.failed(failure);
    }
  }
}
