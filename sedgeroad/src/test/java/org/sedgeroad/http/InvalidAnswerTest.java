package org.sedgeroad.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.MonotonicClock;

/** Guards against answers that are not valid HTTP and are passed on, and against the opposite. */
class InvalidAnswerTest {
  private static final String STATUS = "HTTP/1.1 200 OK\r\n";
  private static final String BODY = "0123456789abcde";
  private static final String CHUNKS = "f\r\n" + BODY + "\r\n0\r\n\r\n";
  private static final String SOUND = STATUS + "Content-Length: 15\r\n\r\n" + BODY;

  /** Time for which a server keeps a connection open after its answer, in milliseconds. */
  private static final long LINGER_MILLIS = 50;

  private static final long BYTE_INTERVAL_NANOS = 200_000;

  private PooledHttpClient client;
  private RawServer server;

  /** How the bytes of an answer arrive. */
  private enum Delivery {
    AT_ONCE,
    BYTE_BY_BYTE;

    void write(Socket socket, String text) throws IOException {
      if (this == AT_ONCE) {
        RawServer.write(socket, text);
        return;
      }
      for (int index = 0; index < text.length(); index++) {
        RawServer.write(socket, text.substring(index, index + 1));
        LockSupport.parkNanos(BYTE_INTERVAL_NANOS);
      }
    }
  }

  @BeforeEach
  void open() throws IOException {
    client = PooledHttpClient.create(1);
    server = new RawServer();
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    server.close();
  }

  private HttpResult call(String method) {
    return client.send(
        new HttpCall(
            method,
            server.uri(),
            Map.of(),
            new byte[0],
            false,
            MonotonicClock.SYSTEM.deadlineAfterMillis(3_000)));
  }

  private HttpResult call() {
    return call("POST");
  }

  private void serve(Delivery delivery, String... answers) {
    server.serve(
        socket -> {
          for (String answer : answers) {
            RawServer.readHead(socket);
            delivery.write(socket, answer);
          }
          Thread.sleep(LINGER_MILLIS);
        });
  }

  private void assertInvalid(String answer) throws IOException {
    for (Delivery delivery : Delivery.values()) {
      serve(delivery, answer);
      assertInstanceOf(HttpResult.Failed.class, call(), delivery + " on a new connection");
      server.close();
      server = new RawServer();
      serve(delivery, SOUND, answer);
      assertBody(BODY, call());
      assertInstanceOf(HttpResult.Failed.class, call(), delivery + " on a reused connection");
      assertEquals(1, server.connections());
      server.close();
      server = new RawServer();
    }
  }

  private void assertValid(String body, String answer) throws IOException {
    for (Delivery delivery : Delivery.values()) {
      serve(delivery, answer, answer);
      assertBody(body, call());
      assertBody(body, call());
      server.close();
      server = new RawServer();
    }
  }

  private static void assertBody(String body, HttpResult result) {
    byte[] received = assertInstanceOf(HttpResult.Answered.class, result).body();
    assertEquals(body, new String(received, StandardCharsets.ISO_8859_1));
  }

  /** A head that does not state the length of the body, or states it more than once. */
  @Nested
  class Length {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "Content-Length: x",
          "Content-Length: +15",
          "Content-Length: -1",
          "Content-Length: -15",
          "Content-Length: 15.0",
          "Content-Length: 1 5",
          "Content-Length: 0xf",
          "Content-Length: 15;",
          "Content-Length: \u00b9\u00b5",
          "Content-Length: 9223372036854775808",
          "Content-Length: 18446744073709551631",
          "Content-Length: 99999999999999999999999",
          "Content-Length:",
          "Content-Length: , 15",
          "Content-Length: 15, 15",
          "Content-Length: 5, 15",
          "Content-Length: 5\r\nContent-Length: 15",
          "Content-Length: 15\r\nContent-Length: 5",
          "Content-Length: 15\r\ncontent-length: 5",
          "Content-Length: 15\r\nContent-Length: ",
          "Content-Length: 15\r\nContent-Length: +15",
          "Content-Length:\r\n 15",
          "Content-Length: 1\r\n 5",
          "Content-Length : 15",
          "Content-Length\t: 15",
          "Content Length: 15",
          "Content-Len\u0000gth: 15",
          "Content-Length\u0001: 15",
          "Content-Length\u007f: 15",
          " Content-Length: 15",
          "\tContent-Length: 15",
          "Content-Length 15",
          "Content-Length= 15",
          "Content-Length",
        })
    void isInvalid(String line) throws IOException {
      assertInvalid(STATUS + line + "\r\n\r\n" + BODY);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "Content-Length: 15",
          "Content-Length:15",
          "Content-Length: \t 15 \t ",
          "cOnTeNt-LeNgTh: 15",
          "Content-Length: 0015",
          "Content-Length: 15\r\nContent-Length: 15",
          "X-Empty:\r\nContent-Length: 15\r\nX-Blank: ",
        })
    void isValid(String line) throws IOException {
      assertValid(BODY, STATUS + line + "\r\n\r\n" + BODY);
    }
  }

  /** A transfer coding other than chunks alone, so that the end of the body is not known. */
  @Nested
  class Coding {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "Transfer-Encoding: other",
          "Transfer-Encoding:",
          "Transfer-Encoding: identity",
          "Transfer-Encoding: xchunked",
          "Transfer-Encoding: \"chunked\"",
          "Transfer-Encoding: chunked;a=b",
          "Transfer-Encoding: chunked,",
          "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: chunked, gzip",
          "Transfer-Encoding: chunked, chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
          "Transfer-Encoding:\r\n chunked",
          "Transfer-Encoding : chunked",
          "Transfer-Encoding\u0000: chunked",
          "Transfer Encoding: chunked",
          "Transfer-Encoding chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 15",
          "Content-Length: 5\r\nTransfer-Encoding: chunked",
        })
    void isInvalid(String line) throws IOException {
      assertInvalid(STATUS + line + "\r\n\r\n" + CHUNKS);
    }

    @Test
    void isInvalidBeforeItsVersion() throws IOException {
      assertInvalid("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"chunked", "Chunked", "\t CHUNKED\t "})
    void isValid(String coding) throws IOException {
      assertValid(BODY, STATUS + "Transfer-Encoding:" + coding + "\r\n\r\n" + CHUNKS);
    }
  }

  /** A line of the head that is no field. */
  @Nested
  class Fields {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "no field",
          ":",
          ": v",
          "X Y: v",
          "X : v",
          "X\t: v",
          " X: v",
          "\tX: v",
          "  ",
          "X: a\r\n b",
          "X: a\r\n\tb",
          "X: a\r\n ",
          "X\u0000Y: v",
          "X\u0001: v",
          "X\u007f: v",
          "X(y): v",
          "X/y: v",
          "\"X\": v",
          "\u00e9: v",
          "X: a\u0000b",
          "X: a\u0007b",
          "X: a\u001bb",
          "X: a\u007fb",
          "X: a\rb",
          "X: a\r",
          "X\rY: v",
        })
    void areInvalid(String line) throws IOException {
      assertInvalid(STATUS + line + "\r\nContent-Length: 15\r\n\r\n" + BODY);
      assertInvalid(STATUS + "Content-Length: 15\r\n" + line + "\r\n\r\n" + BODY);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "X:",
          "X: \t ",
          "X:a",
          "X: a\tb c",
          "X: a:b, \"c d\"",
          "X: \u0080\u00e9\u00ff",
          "!#$%&'*+-.^_`|~0aZ: v",
        })
    void areValid(String line) throws IOException {
      assertValid(BODY, STATUS + line + "\r\nContent-Length: 15\r\n\r\n" + BODY);
    }

    @Test
    void areValidIfTheyAreLong() throws IOException {
      String line = "X: " + "v".repeat(5_000) + "\r\n";
      String head = STATUS + line.repeat(3) + "Content-Length: 15\r\n\r\n";
      serve(Delivery.AT_ONCE, head + BODY, head + BODY);
      assertBody(BODY, call());
      assertBody(BODY, call());
    }
  }

  /** A first line that is no status line. */
  @Nested
  class StatusLine {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/0.9 200 OK",
          "HTTP/2.0 200 OK",
          "HTTP/2 200 OK",
          "HTTP/1.10 200 OK",
          "HTTP/1.x 200 OK",
          "HTTP/1 200 OK",
          "http/1.1 200 OK",
          "HTTPS/1.1 200 OK",
          "XTTP/1.1 200 OK",
          "RTSP/1.0 200 OK",
          "ICY 200 OK",
          " HTTP/1.1 200 OK",
          "\r\nHTTP/1.1 200 OK",
          "HTTP/1.1  200 OK",
          "HTTP/1.1\t200 OK",
          "HTTP/1.1 200\tOK",
          "HTTP/1.1 200OK",
          "HTTP/1.1 2000 OK",
          "HTTP/1.1 0200 OK",
          "HTTP/1.1 20 OK",
          "HTTP/1.1 +20 OK",
          "HTTP/1.1 2x0 OK",
          "HTTP/1.1 \u00b2\u00b2\u00b2 OK",
          "HTTP/1.1 000 OK",
          "HTTP/1.1 099 OK",
          "HTTP/1.1 600 OK",
          "HTTP/1.1 999 OK",
          "HTTP/1.1 OK",
          "HTTP/1.1",
          "HTTP/1.1 200 O\u0000K",
          "HTTP/1.1 200 O\u007fK",
          "HTTP/1.1 200 O\rK",
        })
    void isInvalid(String line) throws IOException {
      assertInvalid(line + "\r\nContent-Length: 15\r\n\r\n" + BODY);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 OK",
          "HTTP/1.0 200 OK",
          "HTTP/1.1 200 ",
          "HTTP/1.1 200 O\tK \u00e9",
          "HTTP/1.1 404 Not Found",
          "HTTP/1.1 599 ",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
        })
    void isValid(String line) throws IOException {
      assertValid(BODY, line + "\r\nContent-Length: 15\r\n\r\n" + BODY);
    }
  }

  /** Chunks whose sizes are no numbers, or do not match the data. */
  @Nested
  class Chunks {
    private static final String HEAD = STATUS + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String END = "\r\n0\r\n\r\n";

    @ParameterizedTest
    @ValueSource(
        strings = {
          "",
          "x",
          "-f",
          "+f",
          " f",
          "0xf",
          "f.0",
          "f f",
          "fg",
          "f\u0000",
          "f ",
          "f,a",
          ";a",
          "f;a\u0000b",
          "f;a\rb",
          "10000000f",
          "1000000000000000f",
          "8000000000000000",
          "7fffffffffffffff",
          "ffffffffffffffff",
          "fffffffffffffffff",
          "10",
          "e",
        })
    void areInvalid(String size) throws IOException {
      assertInvalid(HEAD + size + "\r\n" + BODY + END);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "f\r\n" + BODY + "0\r\n\r\n",
          "f\r\n" + BODY + "XX\r\n0\r\n\r\n",
          "f\r\n" + BODY + "\r\r\n0\r\n\r\n",
          "f\r\n" + BODY + "\n0\r\n\r\n",
          "f\n" + BODY + "\r\n0\r\n\r\n",
          "f\r" + BODY + "\r0\r\r",
          "f\n" + BODY + "\n0\n\n",
          "f\r\n" + BODY + "\r\n0\n\n",
          "f\r\n" + BODY + "\r\n",
          "f\r\n" + BODY + "\r\n0",
          "f\r\n" + BODY + "\r\n0\r\n",
          "f\r\n" + BODY + "\r\n0\r\nno field\r\n\r\n",
          "f\r\n" + BODY + "\r\n0\r\nX Y: v\r\n\r\n",
          "f\r\n" + BODY + "\r\n0\r\nX: a\r\n b\r\n\r\n",
          "f\r\n" + BODY + "\r\n0\r\nX: a\u0000\r\n\r\n",
        })
    void areInvalidIfTheirLinesAre(String chunks) throws IOException {
      assertInvalid(HEAD + chunks);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "F\r\n" + BODY + "\r\n000\r\n\r\n",
          "000000000000000000f\r\n" + BODY + "\r\n0\r\n\r\n",
          "5\r\n01234\r\na\r\n56789abcde\r\n0\r\n\r\n",
          "f;a\r\n" + BODY + "\r\n0;b=c\r\n\r\n",
          "f;a=\"b;c d\"\r\n" + BODY + "\r\n0\r\n\r\n",
          "f ; a = b\r\n" + BODY + "\r\n0\r\n\r\n",
          "f\r\n" + BODY + "\r\n0\r\nX: v\r\nY:\r\n\r\n",
          "f\r\n" + BODY + "\r\n0\r\nContent-Length: 5\r\n\r\n",
        })
    void areValid(String chunks) throws IOException {
      assertValid(BODY, HEAD + chunks);
    }
  }

  /** An answer that has no body, whatever its fields say. */
  @Nested
  class WithoutBody {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 304 Not Modified\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 15\r\n",
          "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n",
          "HTTP/1.1 204 No Content\r\n",
          "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n",
        })
    void endsWithItsHead(String head) throws IOException {
      assertValid("", head + "\r\n");
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 15\r\n\r\n" + BODY,
          "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
          "HTTP/1.1 204 No Content\r\n\r\n" + BODY,
        })
    void isNotGivenTheBytesAfterIt(String answer) throws IOException {
      assertValid("", answer);
    }

    /** A byte after it that came after the next request was read as the beginning of its answer. */
    @Test
    void isTheLastOnItsConnectionIfItsStatusForbidsABody() {
      String answer = "HTTP/1.1 204 No Content\r\n\r\n";
      serve(Delivery.AT_ONCE, answer, answer);
      assertBody("", call());
      assertBody("", call());
      assertEquals(2, server.connections());
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 15", "Transfer-Encoding: chunked"})
    void isInvalidIfItsStatusForbidsTheField(String line) throws IOException {
      String body = line.endsWith("chunked") ? CHUNKS : BODY;
      assertInvalid("HTTP/1.1 204 No Content\r\n" + line + "\r\n\r\n" + body);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 15", "Transfer-Encoding: chunked"})
    void endsWithItsHeadAfterAHeadRequest(String line) {
      serve(Delivery.AT_ONCE, STATUS + line + "\r\n\r\n", SOUND);
      assertBody("", call("HEAD"));
      assertBody(BODY, call());
      assertEquals(1, server.connections());
    }
  }

  /** Bytes that follow an answer on its connection. */
  @Nested
  class AfterTheEnd {
    private static final long MOST_SECONDS = 5;

    /** Releases the bytes after the first answer. */
    private final CountDownLatch left = new CountDownLatch(1);

    private final CountDownLatch written = new CountDownLatch(1);

    /** Sends bytes after the first answer on its connection, and a sound answer on all others. */
    private void serveWith(String answer, String bytesAfterIt) {
      server.serve(
          socket -> {
            RawServer.readHead(socket);
            if (server.connections() > 1) {
              RawServer.write(socket, SOUND);
            } else {
              RawServer.write(socket, answer);
              left.await();
              RawServer.write(socket, bytesAfterIt);
              written.countDown();
            }
            Thread.sleep(10 * LINGER_MILLIS);
          });
    }

    private void sendBytesAfterEnd() {
      left.countDown();
      try {
        written.await(MOST_SECONDS, TimeUnit.SECONDS);
        Thread.sleep(LINGER_MILLIS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }

    private static HttpCall post(URI uri) {
      long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(3_000);
      return HttpCall.of("POST", uri, new byte[0], deadline);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          STATUS + "Content-Length: 5\r\n\r\nfirst" + SOUND,
          STATUS + "Content-Length: 5\r\n\r\nfirst\r\n",
          STATUS + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n" + SOUND,
          STATUS + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\nx",
        })
    void areNotInTheNextAnswerIfTheyArriveWithTheEnd(String answer) throws Exception {
      serveWith(answer, "");
      CompletableFuture<HttpResult> second = new CompletableFuture<>();
      client.start(
          post(server.uri()),
          first -> {
            assertBody("first", first);
            client.start(post(server.uri()), second::complete);
          });
      assertBody(BODY, second.get(MOST_SECONDS, TimeUnit.SECONDS));
      assertEquals(2, server.connections());
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nleft",
          "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
          "\r\n",
          "x"
        })
    void areNotInTheNextAnswerIfTheThreadIsBusy(String bytesAfterIt) throws Exception {
      serveWith(SOUND, bytesAfterIt);
      assertBody(BODY, call());
      CompletableFuture<HttpResult> second = new CompletableFuture<>();
      try (RawServer other = new RawServer()) {
        other.serve(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, SOUND);
            });
        client.start(
            post(other.uri()),
            result -> {
              // The I/O thread receives the bytes only after it has sent the next request.
              sendBytesAfterEnd();
              client.start(post(server.uri()), second::complete);
            });
        assertBody(BODY, second.get(MOST_SECONDS, TimeUnit.SECONDS));
      }
      assertEquals(2, server.connections());
    }

    @Test
    void areNotInTheNextAnswerIfTheThreadIsIdle() {
      serveWith(SOUND, SOUND);
      assertBody(BODY, call());
      sendBytesAfterEnd();
      assertBody(BODY, call());
      assertEquals(2, server.connections());
    }
  }
}
