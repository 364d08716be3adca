package org.sedgeroad.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.MonotonicClock;

/** Guards against an answer that breaks off and looks complete, and against the opposite. */
class AnswerEndTest {
  private static final byte[] BODY = "id: 1\ndata: a\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n" + text(BODY);

  private final PooledHttpClient client = PooledHttpClient.create(1);
  private final AtomicInteger connections = new AtomicInteger();
  private ServerSocket server;

  /** How a server ends its side of a connection. */
  private enum End {
    CLOSED,
    RESET,
    RESET_LATER
  }

  /** What a server does with a connection after it was opened. */
  private interface Script {
    void run(Socket socket) throws IOException, InterruptedException;
  }

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    server.close();
  }

  private void serve(Script script) {
    Thread thread =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                  connections.incrementAndGet();
                  script.run(socket);
                } catch (IOException | InterruptedException closed) {
                  // The client has closed the connection, or the test has ended.
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Reads requests without a body and sends the same text and end after each. */
  private void serve(String answer, End end) {
    serve(
        socket -> {
          readHead(socket);
          socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
          if (end == End.RESET_LATER) {
            Thread.sleep(50);
          }
          if (end != End.CLOSED) {
            socket.setSoLinger(true, 0);
          }
        });
  }

  private static void readHead(Socket socket) throws IOException {
    InputStream input = new BufferedInputStream(socket.getInputStream(), 1);
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("closed");
      }
      head.append((char) next);
    }
  }

  private HttpResult call(String method, byte[] body) {
    URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
    return client.send(
        new HttpCall(
            method, uri, Map.of(), body, false, MonotonicClock.SYSTEM.deadlineAfterMillis(3_000)));
  }

  private HttpResult get() {
    return call("GET", new byte[0]);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.US_ASCII);
  }

  private void assertComplete(byte[] body, HttpResult result) {
    assertArrayEquals(body, assertInstanceOf(HttpResult.Answered.class, result).body());
  }

  @Nested
  class WithoutLength {
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void isCompleteIfTheServerClosesTheConnection(String version) {
      serve(version + " 200 OK\r\n\r\n" + text(BODY), End.CLOSED);
      assertComplete(BODY, get());
      assertComplete(BODY, get());
      assertEquals(2, connections.get());
    }

    @Test
    void isCompleteWithConnectionClose() {
      serve("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text(BODY), End.CLOSED);
      assertComplete(BODY, get());
    }

    @ParameterizedTest
    @EnumSource(
        value = End.class,
        names = {"RESET", "RESET_LATER"})
    void isBrokenIfTheServerResetsTheConnection(End end) {
      serve(UNFRAMED, end);
      for (int number = 0; number < 20; number++) {
        assertInstanceOf(HttpResult.Failed.class, get());
      }
    }

    /** The failed write of the request body consumes the error that a read would report. */
    @Test
    void isBrokenIfTheConnectionIsResetWhileTheRequestIsSent() {
      serve(
          socket -> {
            readHead(socket);
            socket.getOutputStream().write(UNFRAMED.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readNBytes(4 * 1024 * 1024);
            socket.setSoLinger(true, 0);
          });
      byte[] body = new byte[32 * 1024 * 1024];
      for (int number = 0; number < 50; number++) {
        assertInstanceOf(HttpResult.Failed.class, call("POST", body));
      }
    }

    @Test
    void isCompleteIfItIsLong() {
      byte[] part = new byte[64 * 1024];
      serve(
          socket -> {
            readHead(socket);
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".getBytes());
            for (int number = 0; number < 100; number++) {
              socket.getOutputStream().write(part);
              Thread.sleep(5);
            }
          });
      assertComplete(new byte[100 * part.length], get());
    }

    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void hasNoBodyIfItsStatusAllowsNone(String status) {
      serve("HTTP/1.1 " + status + "\r\n\r\n", End.CLOSED);
      assertComplete(new byte[0], get());
    }

    @Test
    void hasNoBodyIfItAnswersAHeadRequest() {
      serve("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", End.CLOSED);
      assertComplete(new byte[0], call("HEAD", new byte[0]));
    }
  }

  /** An answer without a length that ends while the request is still being sent. */
  @Nested
  class BeforeTheEndOfTheRequest {
    /** How a server ends its answer; the connection is reset where the request is not read. */
    private enum Early {
      /** The reset arrives with the answer. */
      RESET_AT_ONCE,
      /** The reset arrives after the answer was read. */
      RESET_LATER,
      /** The answer ends as if it were complete, and the rest of the request is not read. */
      END_THEN_SILENCE,
      /** The same, and the connection is reset later. */
      END_THEN_RESET,
      /** The same, and the request is read to its end; no error is ever reported. */
      END_THEN_READ
    }

    @ParameterizedTest
    @EnumSource(Early.class)
    void isBroken(Early early) {
      assertBroken(UNFRAMED, early);
    }

    @ParameterizedTest
    @EnumSource(Early.class)
    void isBrokenIfItsLengthSaysSo(Early early) {
      assertBroken("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + text(BODY), early);
    }

    @ParameterizedTest
    @EnumSource(Early.class)
    void isBrokenIfItsChunksSaySo(Early early) {
      String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      assertBroken(head + "f\r\n" + text(BODY) + "\r\n", early);
    }

    private void assertBroken(String answer, Early early) {
      byte[] body = new byte[16 * 1024 * 1024];
      serve(
          socket -> {
            readHead(socket);
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            switch (early) {
              case RESET_AT_ONCE -> socket.setSoLinger(true, 0);
              case RESET_LATER -> {
                Thread.sleep(20);
                socket.setSoLinger(true, 0);
              }
              case END_THEN_SILENCE -> {
                socket.shutdownOutput();
                Thread.sleep(300);
              }
              case END_THEN_RESET -> {
                socket.shutdownOutput();
                Thread.sleep(20);
                socket.setSoLinger(true, 0);
              }
              default -> {
                socket.shutdownOutput();
                Thread.sleep(20);
                socket.getInputStream().readAllBytes();
              }
            }
          });
      for (int number = 0; number < 10; number++) {
        assertInstanceOf(HttpResult.Failed.class, call("POST", body), "call " + number);
      }
    }

    @Test
    void isCompleteIfTheRequestWasReadWhole() {
      byte[] body = new byte[16 * 1024 * 1024];
      serve(
          socket -> {
            readHead(socket);
            socket.getInputStream().readNBytes(body.length);
            socket.getOutputStream().write(UNFRAMED.getBytes(StandardCharsets.US_ASCII));
          });
      for (int number = 0; number < 20; number++) {
        assertComplete(BODY, call("POST", body));
      }
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "Content-Length: 15\r\n\r\n%s",
          "Transfer-Encoding: chunked\r\n\r\nf\r\n%s\r\n0\r\n\r\n"
        })
    void isCompleteIfItsFramingSaysSo(String answer) {
      String text = "HTTP/1.1 413 Too Large\r\n" + String.format(answer, text(BODY));
      serve(
          socket -> {
            readHead(socket);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(100);
          });
      assertComplete(BODY, call("POST", new byte[16 * 1024 * 1024]));
    }

    /** The server reads on, and must not find another request where the rest of the body is due. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "Content-Length: 15\r\n\r\n%s",
          "Transfer-Encoding: chunked\r\n\r\nf\r\n%s\r\n0\r\n\r\n"
        })
    void isNotFollowedByAnotherRequestInsideTheBody(String answer) throws Exception {
      byte[] body = new byte[16 * 1024 * 1024];
      String text = "HTTP/1.1 200 OK\r\n" + String.format(answer, text(BODY));
      AtomicInteger foreignBytes = new AtomicInteger();
      serve(
          socket -> {
            readHead(socket);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            if (connections.get() == 1) {
              Thread.sleep(50);
              for (byte next : socket.getInputStream().readNBytes(body.length)) {
                foreignBytes.addAndGet(next == 0 ? 0 : 1);
              }
              readHead(socket);
              socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            }
          });
      assertComplete(BODY, call("POST", body));
      assertComplete(BODY, call("POST", new byte[0]));
      assertEquals(0, foreignBytes.get());
    }
  }

  /** A status that is none, or that only precedes an answer. */
  @Nested
  class WithAnInvalidStatus {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "000",
          "0",
          "001",
          "42",
          "99",
          "100",
          "101",
          "102",
          "103",
          "199",
          "600",
          "999",
          "1000",
          "20000",
          "4294967496"
        })
    void isNoAnswer(String status) {
      for (String framing : List.of("", "Content-Length: 15\r\n")) {
        serve("HTTP/1.1 " + status + " OK\r\n" + framing + "\r\n" + text(BODY), End.CLOSED);
        assertInstanceOf(HttpResult.Failed.class, get(), status + " " + framing);
        assertInstanceOf(
            HttpResult.Failed.class, call("POST", new byte[2]), status + " " + framing);
      }
    }
  }

  @Nested
  class WithLengthOrChunks {
    @ParameterizedTest
    @EnumSource(End.class)
    void isBrokenIfBytesAreMissing(End end) {
      String whole = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + text(BODY);
      assertBrokenAtEachByte(whole, end);
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void isBrokenIfAChunkIsMissing(End end) {
      String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      assertBrokenAtEachByte(head + "f\r\n" + text(BODY) + "\r\n0\r\n\r\n", end);
    }

    @Test
    void isCompleteIfTheConnectionIsResetAfterItsEnd() {
      serve("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + text(BODY), End.RESET_LATER);
      assertComplete(BODY, get());
    }

    private void assertBrokenAtEachByte(String whole, End end) {
      AtomicInteger length = new AtomicInteger();
      serve(
          socket -> {
            readHead(socket);
            String part = whole.substring(0, length.get());
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
            if (end == End.RESET_LATER) {
              Thread.sleep(5);
            }
            if (end != End.CLOSED) {
              socket.setSoLinger(true, 0);
            }
          });
      for (int next = 0; next < whole.length(); next++) {
        length.set(next);
        assertInstanceOf(HttpResult.Failed.class, get(), "at " + next);
      }
    }
  }

  /** A server that stops in the middle of the head of its answer. */
  @Nested
  class InsideTheHead {
    private static final String STATUS = "HTTP/1.1 200 OK";

    private static final List<String> HEADS =
        List.of(
            "HTTP",
            STATUS,
            STATUS + "\r",
            STATUS + "\r\n",
            STATUS + "\n",
            STATUS + "\r\nConnection: close",
            STATUS + "\r\nConnection: close\r\n",
            STATUS + "\r\nContent-Length: 0\r\n",
            STATUS + "\r\nContent-Length: 0\r\n\r",
            STATUS + "\r\nContent-Le",
            STATUS + "\r\nContent-Type: text/event-stream\r\nX-Resp",
            STATUS + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n",
            STATUS + "\r\nTransfer-Encoding: chunked\r\n",
            "HTTP/1.0 200 OK\r\n",
            "HTTP/1.0 200 OK");

    @ParameterizedTest
    @EnumSource(End.class)
    void failsTheCall(End end) {
      AtomicReference<String> head = new AtomicReference<>();
      serve(
          socket -> {
            readHead(socket);
            socket.getOutputStream().write(head.get().getBytes(StandardCharsets.US_ASCII));
            if (end == End.RESET_LATER) {
              Thread.sleep(5);
            }
            if (end != End.CLOSED) {
              socket.setSoLinger(true, 0);
            }
          });
      for (String next : HEADS) {
        head.set(next);
        assertInstanceOf(HttpResult.Failed.class, call("POST", new byte[0]), next);
        assertInstanceOf(HttpResult.Failed.class, get(), next);
      }
    }

    /** The head of a second answer on a connection that was kept after a first one. */
    @ParameterizedTest
    @ValueSource(strings = {STATUS, STATUS + "\r\n", STATUS + "\r\nConnection: close\r\n"})
    void failsTheCallOnAReusedConnection(String head) {
      serve(
          socket -> {
            readHead(socket);
            socket.getOutputStream().write((STATUS + "\r\nContent-Length: 0\r\n\r\n").getBytes());
            readHead(socket);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
          });
      assertInstanceOf(HttpResult.Answered.class, get());
      assertInstanceOf(HttpResult.Failed.class, call("POST", new byte[0]));
      assertEquals(1, connections.get());
    }
  }
}
