package org.sedgeroad.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.ClientStatistics;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.MonotonicClock;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Guards against bodies that are mixed from two answers: a broken connection is reported to both
 * callbacks of a request, and each report sent the request once more.
 */
class RepeatedCallbackTest {
  private static final URI ADDRESS = URI.create("http://127.0.0.1:1/page");

  private final XnioWorker worker = createWorker();
  private final FakeConnections connections = new FakeConnections();
  private final List<String> answered = new ArrayList<>();
  private final HttpExchange exchange =
      new HttpExchange(
          connections,
          HttpCall.get(ADDRESS, MonotonicClock.SYSTEM.deadlineAfterMillis(60_000)),
          new RecordingListener(),
          MonotonicClock.SYSTEM);

  private static XnioWorker createWorker() {
    try {
      return Xnio.getInstance()
          .createWorker(
              OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
    } catch (IOException failure) {
      throw new IllegalStateException("cannot start the I/O thread", failure);
    }
  }

  @AfterEach
  void close() {
    worker.shutdownNow();
  }

  /** Both callbacks of a request report the same broken connection. */
  @ParameterizedTest
  @ValueSource(strings = {"send,head", "head,send", "send,send", "head,head"})
  void sendsTheRequestOnceMoreOnly(String reports) {
    FakeConnection first = new FakeConnection();
    exchange.send(first.connection, true);
    first.start();
    for (String report : reports.split(",")) {
      first.fail(report);
    }
    assertEquals(1, connections.connected);
  }

  /** The first connection still delivers an answer after the request was sent once more. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void ignoresAnAnswerToTheAttemptBefore(boolean beforeTheSecondIsSent) {
    FakeConnection first = new FakeConnection();
    FakeConnection second = new FakeConnection();
    exchange.send(first.connection, true);
    first.start();
    first.fail("send");
    if (beforeTheSecondIsSent) {
      first.answer("first");
    }
    exchange.send(second.connection, false);
    second.start();
    if (!beforeTheSecondIsSent) {
      first.answer("first");
    }
    second.answer("second");
    first.fail("head");
    assertEquals(List.of("200", "second", "end"), answered);
    assertEquals(List.of(second.connection), connections.released);
  }

  @Test
  void ignoresAFailureOfTheAttemptBefore() {
    FakeConnection first = new FakeConnection();
    FakeConnection second = new FakeConnection();
    exchange.send(first.connection, true);
    first.start();
    first.fail("head");
    exchange.send(second.connection, false);
    second.start();
    first.fail("send");
    second.answer("second");
    assertEquals(List.of("200", "second", "end"), answered);
  }

  @Test
  void failsIfTheNewConnectionBreaksToo() {
    FakeConnection first = new FakeConnection();
    FakeConnection second = new FakeConnection();
    exchange.send(first.connection, true);
    first.start();
    first.fail("head");
    exchange.send(second.connection, false);
    second.start();
    second.fail("head");
    second.fail("send");
    assertEquals(List.of("failed"), answered);
    assertEquals(1, connections.connected);
  }

  private final class RecordingListener implements HttpListener {
    @Override
    public void onHead(HttpHead head) {
      answered.add(Integer.toString(head.status()));
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
      answered.add(StandardCharsets.US_ASCII.decode(bytes).toString());
    }

    @Override
    public void onEnd() {
      answered.add("end");
    }

    @Override
    public void onFailure(HttpFailure failure) {
      assertInstanceOf(HttpFailure.Broken.class, failure);
      answered.add("failed");
    }
  }

  private static final class FakeConnections implements Connections {
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 1_024);
    private final List<ValidatedConnection> released = new ArrayList<>();
    private int connected;

    @Override
    public void connect(HttpExchange exchange) {
      connected++;
    }

    @Override
    public void release(URI uri, ValidatedConnection connection, Long serverIdleSeconds) {
      released.add(connection);
    }

    @Override
    public void closeIdle(URI uri, long untilNanos) {}

    @Override
    public void guard(HttpExchange exchange) {}

    @Override
    public ByteBufferPool buffers() {
      return buffers;
    }
  }

  /** A connection whose callbacks the test runs. */
  private final class FakeConnection {
    private final ValidatedConnection connection =
        new ValidatedConnection(
            fake(
                ClientConnection.class,
                (proxy, method, arguments) -> onCall(method.getName(), arguments)),
            new ValidatedSource(fake(StreamSourceConduit.class, (proxy, method, arguments) -> 0)));
    private ClientCallback<ClientExchange> sendCallback;
    private ClientCallback<ClientExchange> headCallback;

    @SuppressWarnings("unchecked")
    private Object onCall(String method, Object[] arguments) {
      switch (method) {
        case "sendRequest" -> {
          assertInstanceOf(ClientRequest.class, arguments[0]);
          sendCallback = (ClientCallback<ClientExchange>) arguments[1];
          return null;
        }
        case "getIoThread" -> {
          return worker.getIoThread();
        }
        case "getStatistics" -> {
          return fake(ClientStatistics.class, (proxy, getter, none) -> 0L);
        }
        case "isOpen" -> {
          return true;
        }
        default -> {
          return null;
        }
      }
    }

    void start() {
      sendCallback.completed(exchange("", 0));
    }

    void fail(String callback) {
      ("send".equals(callback) ? sendCallback : headCallback).failed(new IOException("reset"));
    }

    void answer(String body) {
      headCallback.completed(exchange(body, body.length()));
    }

    @SuppressWarnings("unchecked")
    private ClientExchange exchange(String body, int length) {
      ClientResponse response = new ClientResponse(200, "OK", Protocols.HTTP_1_1);
      response.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
      ByteBuffer left = ByteBuffer.wrap(body.getBytes(StandardCharsets.US_ASCII));
      return fake(
          ClientExchange.class,
          (proxy, method, arguments) -> {
            switch (method.getName()) {
              case "setResponseListener" ->
                  headCallback = (ClientCallback<ClientExchange>) arguments[0];
              case "getResponse" -> {
                return response;
              }
              case "getRequestChannel" -> {
                return fake(
                    StreamSinkChannel.class, (sink, call, none) -> sinkResult(call.getName()));
              }
              case "getResponseChannel" -> {
                return fake(
                    StreamSourceChannel.class,
                    (source, call, values) -> sourceResult(call.getName(), values, left));
              }
              default -> throw new IllegalStateException(method.getName());
            }
            return null;
          });
    }

    private static Object sinkResult(String method) {
      return "flush".equals(method) ? Boolean.TRUE : null;
    }

    private static Object sourceResult(String method, Object[] arguments, ByteBuffer left) {
      if ("read".equals(method)) {
        if (!left.hasRemaining()) {
          return -1;
        }
        ByteBuffer target = (ByteBuffer) arguments[0];
        int count = left.remaining();
        target.put(left);
        return count;
      }
      return "getReadSetter".equals(method) ? (ChannelListener.Setter<?>) listener -> {} : null;
    }
  }

  private static <T> T fake(Class<T> type, InvocationHandler handler) {
    return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
  }
}
