package org.sedgeroad.http;

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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.MonotonicClock;

/** Guards against one timeout after the other when all open connections have become silent. */
class SilentConnectionTest {
  private static final byte[] ANSWER =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final int POOLED = 5;
  private static final int TIMEOUT_MILLIS = 300;
  private static final int LONG_MILLIS = 5_000;

  private final PooledHttpClient client = PooledHttpClient.create(1);
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger received = new AtomicInteger();

  /** Permits to answer requests for {@code /held}. */
  private final Semaphore answers = new Semaphore(0);

  /** Connections with smaller numbers deliver nothing. */
  private volatile int firstLiveConnection;

  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(
        () -> {
          while (!server.isClosed()) {
            Socket socket = server.accept();
            int number = connections.getAndIncrement();
            startThread(() -> serve(socket, number));
          }
        });
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    server.close();
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void startThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException closed) {
                // The client has closed the connection, or the test has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket socket, int number) throws IOException, InterruptedException {
    try (socket;
        InputStream input = new BufferedInputStream(socket.getInputStream())) {
      StringBuilder head = new StringBuilder();
      for (int next = input.read(); next >= 0; next = input.read()) {
        head.append((char) next);
        if (head.indexOf("\r\n\r\n") >= 0) {
          received.incrementAndGet();
          if (head.indexOf("/held") >= 0) {
            answers.acquire();
          }
          if (number >= firstLiveConnection) {
            socket.getOutputStream().write(ANSWER);
          }
          head.setLength(0);
        }
      }
    }
  }

  private CompletableFuture<HttpResult> start(String method, String path, long timeoutMillis) {
    URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + path);
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(timeoutMillis);
    return client.sendAsync(HttpCall.of(method, uri, new byte[0], deadline));
  }

  /** Starts a number of requests that are answered when {@link #answers} permits it. */
  private List<CompletableFuture<HttpResult>> hold(int count) {
    return hold(count, LONG_MILLIS);
  }

  private List<CompletableFuture<HttpResult>> hold(int count, long timeoutMillis) {
    int expected = received.get() + count;
    List<CompletableFuture<HttpResult>> held = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      held.add(start("GET", "/held", timeoutMillis));
    }
    Awaitility.await().until(() -> received.get() == expected);
    return held;
  }

  private void fillPool() {
    List<CompletableFuture<HttpResult>> held = hold(POOLED);
    answers.release(POOLED);
    held.forEach(SilentConnectionTest::assertAnswered);
    assertEquals(POOLED, connections.get());
  }

  private static void assertAnswered(CompletableFuture<HttpResult> result) {
    assertInstanceOf(HttpResult.Answered.class, result.join());
  }

  private static void assertFailed(CompletableFuture<HttpResult> result) {
    assertInstanceOf(HttpResult.Failed.class, result.join());
  }

  @Nested
  class Timeout {
    @Test
    void isTheOnlyOneOfCallsThatFollowEachOther() {
      fillPool();
      firstLiveConnection = POOLED;
      assertFailed(start("GET", "/", TIMEOUT_MILLIS));
      assertAnswered(start("GET", "/", TIMEOUT_MILLIS));
    }

    @Test
    void isTheOnlyOneOfCallsThatMustNotBeRepeated() {
      fillPool();
      firstLiveConnection = POOLED;
      assertFailed(start("POST", "/", TIMEOUT_MILLIS));
      assertAnswered(start("POST", "/", TIMEOUT_MILLIS));
    }

    @Test
    void leavesExchangesInProgress() {
      fillPool();
      List<CompletableFuture<HttpResult>> held = hold(2);
      assertFailed(start("GET", "/held", TIMEOUT_MILLIS));
      answers.release(2 + POOLED);
      held.forEach(SilentConnectionTest::assertAnswered);
    }

    @Test
    void leavesConnectionsThatHaveDeliveredSince() {
      fillPool();
      CompletableFuture<HttpResult> slow = hold(1, TIMEOUT_MILLIS).get(0);
      assertAnswered(start("GET", "/", LONG_MILLIS));
      assertFailed(slow);
      assertAnswered(start("GET", "/", LONG_MILLIS));
      assertEquals(POOLED, connections.get());
      List<CompletableFuture<HttpResult>> held = hold(2);
      assertEquals(POOLED + 1, connections.get());
      answers.release(3);
      held.forEach(SilentConnectionTest::assertAnswered);
    }
  }
}
