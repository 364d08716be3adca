package org.sedgeroad.http;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.MonotonicClock;

/**
 * Guards against a server in trouble that sends bytes without end, in the head or the body of an
 * answer, until the client closes the connection: memory must stay bounded.
 */
class EndlessAnswerTest {
  private static final long MOST_BYTES = 64L * 1024 * 1024;

  private static final long PAUSE_BYTES = 1024 * 1024;

  private final PooledHttpClient client = PooledHttpClient.create(1);
  private final AtomicLong sent = new AtomicLong();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    server.close();
  }

  /** Answers one request with a text and then repeats another text until the client closes. */
  private void serve(String start, String repeated) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[4_096]);
                OutputStream output = socket.getOutputStream();
                output.write(start.getBytes(StandardCharsets.US_ASCII));
                byte[] part =
                    repeated
                        .repeat(Math.max(1, 8_192 / repeated.length()))
                        .getBytes(StandardCharsets.US_ASCII);
                while (sent.get() < 2 * MOST_BYTES) {
                  output.write(part);
                  // At the speed of a link of 1 Gbit/s, faster than any that instances have.
                  if (sent.addAndGet(part.length) / PAUSE_BYTES
                      != (sent.get() - part.length) / PAUSE_BYTES) {
                    Thread.sleep(8);
                  }
                }
              } catch (IOException | InterruptedException closed) {
                // The client has closed the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void assertEndsSoon(String start, String repeated) {
    serve(start, repeated);
    URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
    HttpResult result =
        client.send(HttpCall.get(uri, MonotonicClock.SYSTEM.deadlineAfterMillis(20_000)));
    assertInstanceOf(HttpResult.Failed.class, result);
    Awaitility.await()
        .atMost(Duration.ofSeconds(5))
        .during(Duration.ofMillis(200))
        .until(() -> sent.get() < MOST_BYTES);
    assertTrue(sent.get() < MOST_BYTES, sent + " bytes");
  }

  @Nested
  class Head {
    @Test
    void withAStatusLineWithoutEnd() {
      assertEndsSoon("HTTP/1.1 200 O", "K");
    }

    @Test
    void withAHeaderNameWithoutEnd() {
      assertEndsSoon("HTTP/1.1 200 OK\r\nX-", "a");
    }

    @Test
    void withAHeaderValueWithoutEnd() {
      assertEndsSoon("HTTP/1.1 200 OK\r\nX-A: ", "a");
    }

    @Test
    void withHeadersWithoutEnd() {
      assertEndsSoon("HTTP/1.1 200 OK\r\n", "X-A: b\r\n");
    }
  }

  @Nested
  class Body {
    @Test
    void withoutALength() {
      assertEndsSoon("HTTP/1.1 200 OK\r\n\r\n", "a");
    }

    @Test
    void inChunks() {
      assertEndsSoon("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n");
    }

    @Test
    void withAChunkHeaderWithoutEnd() {
      assertEndsSoon("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0");
    }

    @Test
    void withTrailersWithoutEnd() {
      assertEndsSoon("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n");
    }
  }
}
