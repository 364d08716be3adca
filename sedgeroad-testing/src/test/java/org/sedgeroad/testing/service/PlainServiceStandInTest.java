package org.sedgeroad.testing.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.testing.TestClient;

/** Guards against executions that are not counted, which would hide a call executed twice. */
class PlainServiceStandInTest {
  private final PlainServiceStandIn service = PlainServiceStandIn.start();
  private final TestClient client = new TestClient(service.address());

  @AfterEach
  void close() {
    client.close();
    service.close();
  }

  @Nested
  class Calls {
    @Test
    void areEchoedAndCounted() {
      Map<String, String> headers = Map.of("X-Request-Id", "r1");
      client.send("POST", "/orders?n=1", "body", headers);
      JsonNode answer =
          TestClient.json(
              (HttpResult.Answered) client.send("POST", "/orders?n=1", "body", headers));
      assertEquals("POST", answer.path("method").asText());
      assertEquals("/orders?n=1", answer.path("path").asText());
      assertEquals(2, answer.path("execution").asInt());
      JsonNode history = client.get("/control/history");
      assertEquals(2, history.path("by_request_id").path("r1").asInt());
      assertEquals(2, history.path("by_body").path(answer.path("body_hash").asText()).asInt());
      assertEquals(2, service.count("r1"));
    }

    @Test
    void areNotExecutedWhileDraining() {
      client.post("/control/drain", "{}");
      HttpResult.Answered refused = client.answer("POST", "/a", "body");
      assertEquals(503, refused.head().status());
      assertEquals("true", refused.head().header("x-draining").orElseThrow());
      assertEquals(0, service.executions().size());
    }
  }
}
