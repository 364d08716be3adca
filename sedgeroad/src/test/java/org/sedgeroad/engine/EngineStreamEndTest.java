package org.sedgeroad.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.http.PooledHttpClient;

/** Guards against engine answers without a length that break off and are taken for complete. */
class EngineStreamEndTest {
  private final PooledHttpClient httpClient = PooledHttpClient.create(1);
  private ServerSocket server;

  /** Whether the server ends its answer before it closes the connection. */
  private volatile boolean endsAnswerFirst;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    httpClient.close();
    server.close();
  }

  /** Answers one request, without a length or chunks, and closes or resets the connection. */
  private void serve(String contentType, String body, boolean reset) {
    serve("200", contentType, body, reset);
  }

  private void serve(String status, String contentType, String body, boolean reset) {
    String answer =
        "HTTP/1.1 " + status + " OK\r\nContent-Type: " + contentType + "\r\n\r\n" + body;
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                InputStream input = socket.getInputStream();
                StringBuilder request = new StringBuilder();
                while (request.indexOf("\r\n\r\nbody") < 0) {
                  request.append((char) input.read());
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                if (endsAnswerFirst) {
                  socket.shutdownOutput();
                  Thread.sleep(50);
                }
                if (reset) {
                  Thread.sleep(50);
                  socket.setSoLinger(true, 0);
                }
              } catch (IOException | InterruptedException closed) {
                // The client has closed the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the data of the events and, at the end, the outcome. */
  private List<String> call() throws Exception {
    return call("body");
  }

  private List<String> call(String body) throws Exception {
    List<String> seen = new ArrayList<>();
    CompletableFuture<List<String>> ended = new CompletableFuture<>();
    EngineListener listener =
        new EngineListener() {
          @Override
          public void onHead(HttpHead head) {
            // Only the events and the end matter.
          }

          @Override
          public void onEvent(String data) {
            seen.add(data);
          }

          @Override
          public void onComplete(byte[] body) {
            seen.add("complete " + body.length);
            ended.complete(seen);
          }

          @Override
          public void onFailure(EngineFailure failure) {
            seen.add(failure.getClass().getSimpleName());
            ended.complete(seen);
          }
        };
    HttpEngineClient.of(httpClient)
        .start(
            new EngineCall(
                "POST",
                URI.create("http://127.0.0.1:" + server.getLocalPort() + "/v1/completions"),
                Map.of(),
                body.getBytes(StandardCharsets.UTF_8),
                "r1",
                ServiceClass.LIVE,
                false,
                MonotonicClock.SYSTEM.deadlineAfterMillis(3_000)),
            listener);
    return ended.get(5, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @CsvSource({
    "'',false,Broken",
    "'',true,Broken",
    "'data: a\n\n',false,a Broken",
    "'data: a\n\n',true,a Broken",
    "'data: a\n\nda',false,a Broken",
    "'data: a\n\ndata: b',false,a Broken",
    "'data: a\n\ndata: [DONE]\n\n',false,a complete 0",
    "'data: a\r\n\r\ndata: [DONE]\r\n\r\n',false,a complete 0",
    "'data: a\n\ndata: [DONE]\n\n',true,a complete 0"
  })
  void ofAStreamIsItsEndMarker(String body, boolean reset, String expected) throws Exception {
    serve("text/event-stream", body, reset);
    assertEquals(expected, String.join(" ", call()));
  }

  @ParameterizedTest
  @CsvSource({"false,complete 2", "true,Broken"})
  void ofAPlainAnswerIsAClosedConnection(boolean reset, String expected) throws Exception {
    serve("application/json", "{}", reset);
    assertEquals(expected, String.join(" ", call()));
  }

  /** The request is longer than what the buffers of a connection take, and is not read. */
  @ParameterizedTest
  @CsvSource({"application/json,{},Broken", "text/event-stream,'data: a\n\n',a Broken"})
  void isNotThereWhileTheRequestIsStillSent(String contentType, String body, String expected)
      throws Exception {
    endsAnswerFirst = true;
    serve(contentType, body, false);
    assertEquals(expected, String.join(" ", call("body".repeat(4 * 1024 * 1024))));
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "103", "600", "999"})
  void isNotThatOfAnAnswerWithAnInvalidStatus(String status) throws Exception {
    serve(status, "application/json", "{}", false);
    assertEquals("Broken", String.join(" ", call()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 23\r\nContent-Length: 30",
        "Content-Length: +23",
        "Transfer-Encoding: other",
        "X Y: v",
        " X: v"
      })
  void isNotThatOfAnInvalidAnswer(String line) throws Exception {
    serve("text/event-stream\r\n" + line, "data: a\n\ndata: [DONE]\n\n", false);
    assertEquals("Broken", String.join(" ", call()));
  }
}
