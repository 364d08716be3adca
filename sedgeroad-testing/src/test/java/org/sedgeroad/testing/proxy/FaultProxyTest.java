package org.sedgeroad.testing.proxy;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.testing.TestClient;
import org.sedgeroad.testing.service.PlainServiceStandIn;

/**
 * Guards against faults that are set but not injected. Tests of fault handling would then pass
 * although nothing failed.
 */
class FaultProxyTest {
  private final PlainServiceStandIn service = PlainServiceStandIn.start();
  private final FaultProxy proxy = FaultProxy.start(service.address());
  private final ProxyControl control = ProxyControl.start(0, proxy);
  private final TestClient client = new TestClient(proxy.address());
  private final TestClient operator = new TestClient(control.address());

  @AfterEach
  void close() {
    client.close();
    operator.close();
    control.close();
    proxy.close();
    service.close();
  }

  /** Sends a call that the HTTP client never repeats. */
  private HttpResult sendOnce(String body, long millis) {
    URI uri = proxy.address().resolve("/x");
    long deadline = System.nanoTime() + millis * 1_000_000L;
    return client
        .httpClient()
        .send(new HttpCall("POST", uri, Map.of(), body.getBytes(), true, deadline));
  }

  private HttpFailure failure(String body, long millis) {
    return assertInstanceOf(HttpResult.Failed.class, sendOnce(body, millis)).failure();
  }

  private long sendAndMeasureMillis(String body) {
    long begin = System.nanoTime();
    assertInstanceOf(HttpResult.Answered.class, sendOnce(body, 5_000));
    return (System.nanoTime() - begin) / 1_000_000L;
  }

  @Nested
  class Connections {
    @Test
    void areRefusedDuringACut() {
      sendAndMeasureMillis("a");
      operator.post("/control/cut", "{}");
      assertInstanceOf(HttpFailure.NotSent.class, failure("b", 1_000));
      operator.post("/control/cut", "{\"on\":false}");
      sendAndMeasureMillis("c");
      assertEquals(2, service.executions().size());
    }

    /** Guards against a port that still accepts connections when setDisconnected has returned. */
    @Test
    void areRefusedAsSoonAsTheCutReturns() {
      for (int round = 0; round < 200; round++) {
        proxy.setDisconnected(true);
        assertThrows(
            ConnectException.class, () -> new Socket("127.0.0.1", proxy.address().getPort()));
        proxy.setDisconnected(false);
      }
    }

    @Test
    void carryNoBytesInABlackHole() {
      operator.post("/control/black-hole", "{}");
      assertInstanceOf(HttpFailure.Broken.class, failure("b", 300));
      operator.post("/control/restore", "{}");
      sendAndMeasureMillis("c");
      assertEquals(1, service.executions().size());
    }

    @Test
    void stayOpenToTheCallerWhenHalfOpen() throws IOException {
      try (Socket socket = new Socket("127.0.0.1", proxy.address().getPort())) {
        await().until(() -> proxy.openConnections() == 1);
        operator.post("/control/half-open", "{}");
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes());
        socket.setSoTimeout(200);
        InputStream in = socket.getInputStream();
        assertThrows(SocketTimeoutException.class, in::read);
      }
      await().until(() -> proxy.openConnections() == 0);
      sendAndMeasureMillis("c");
    }

    @Test
    void closeWithTheirCaller() throws IOException {
      Socket socket = new Socket("127.0.0.1", proxy.address().getPort());
      await().until(() -> proxy.openConnections() == 1);
      socket.close();
      await().until(() -> proxy.openConnections() == 0);
    }
  }

  @Nested
  class Answers {
    @Test
    void areDroppedAfterTheExecution() {
      operator.post("/control/drop-answers", "{\"next\":1}");
      assertInstanceOf(HttpFailure.Broken.class, failure("a", 1_000));
      assertEquals(1, service.executions().size());
      sendAndMeasureMillis("b");
    }
  }

  @Nested
  class Timing {
    @Test
    void delaysEachDirection() {
      sendAndMeasureMillis("warm up");
      proxy.setDelays(60, 40);
      long elapsed = sendAndMeasureMillis("a");
      assertTrue(elapsed >= 100 && elapsed < 400, "took " + elapsed);
    }

    @Test
    void throttlesBytes() {
      sendAndMeasureMillis("warm up");
      operator.post("/control/throttle", "{\"request_bytes_per_second\":100000}");
      long elapsed = sendAndMeasureMillis("x".repeat(50_000));
      assertTrue(elapsed >= 450 && elapsed < 2_000, "took " + elapsed);
      assertTrue(operator.get("/control/counters").path("request_bytes").asLong() > 50_000);
    }
  }
}
