package org.sedgeroad.testing.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;

/**
 * Guards against invalid input that makes an instance fail, is misread, or is refused without a
 * clear reason.
 */
class BadInputTest {
  private static Deployment deployment;
  private static ApiClient client;

  @BeforeAll
  static void start() {
    deployment =
        Deployment.start(
            DeploymentPlan.demo()
                .withDomains(new DomainPlan("neuquen-a", "patagonia-norte", 1, 1, 1))
                .withSetting("requests.maximum-body-bytes", "65536")
                .withSetting("threads.workers", "8"));
    client = client(deployment.plan().key());
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  @AfterEach
  void theInstanceStillServes() {
    assertEquals(200, client.complete(deployment.plan().model(), "hello", 2, false).status());
  }

  private static ApiClient client(String key) {
    return new ApiClient(deployment.httpClient(), deployment.entries().get(0).callerAddress(), key);
  }

  private static void assertRefused(ApiAnswer answer, int status, String part) {
    assertEquals(status, answer.status(), answer.body());
    assertEquals("not-run", answer.work());
    assertTrue(answer.body().contains("\"error\""), answer.body());
    assertTrue(answer.body().contains(part), answer.body());
  }

  @Nested
  class Requests {
    @Test
    void refusesBrokenJson() {
      byte[] body = "{\"model\":".getBytes(StandardCharsets.UTF_8);
      assertRefused(client.send("POST", "/v1/completions", body, Map.of()), 400, "JSON");
    }

    @Test
    void refusesABodyThatIsTooLarge() {
      byte[] body = new byte[200_000];
      assertRefused(client.send("POST", "/v1/completions", body, Map.of()), 413, "65536");
    }

    @Test
    void refusesAnUnknownModel() {
      assertRefused(client.complete("no-such-model", "x", 1, false), 404, "no-such-model");
    }

    @Test
    void refusesAnUnknownKey() {
      ApiAnswer answer = client("no-such-key").complete(deployment.plan().model(), "x", 1, false);
      assertRefused(answer, 401, "key");
    }

    @Test
    void refusesAnUnknownPath() {
      assertRefused(client.get("/v2/nothing"), 404, "/v2/nothing");
    }

    @Test
    void refusesAHeaderThatIsTooLong() {
      ApiAnswer answer =
          client.send("GET", "/v1/models", new byte[0], Map.of("X-Long", "x".repeat(40_000)));
      assertTrue(answer.status() == 400 || answer.status() == 0, answer.toString());
    }
  }

  @Nested
  class BatchFiles {
    @Test
    void namesTheBrokenLine() {
      String line =
          "{\"custom_id\":\"a\",\"method\":\"POST\",\"url\":\"/v1/completions\","
              + "\"body\":{\"model\":\"m\"}}\n";
      assertRefused(client.upload(line + "{broken\n"), 400, "line 2");
    }

    @Test
    void namesARepeatedCustomId() {
      String line =
          "{\"custom_id\":\"a\",\"method\":\"POST\",\"url\":\"/v1/completions\","
              + "\"body\":{\"model\":\"m\"}}\n";
      assertRefused(client.upload(line + line), 400, "line 2 repeats");
    }

    @Test
    void refusesAnUnknownFile() {
      assertRefused(client.submit("file-unknown", Map.of()), 400, "input_file_id");
    }
  }

  @Nested
  class SlowCallers {
    @Test
    void manySlowCallersDoNotKeepOthersWaiting() throws IOException {
      List<Socket> sockets = new ArrayList<>();
      try {
        for (int index = 0; index < 20; index++) {
          int port = deployment.entries().get(0).callerAddress().getPort();
          Socket socket = new Socket("127.0.0.1", port);
          sockets.add(socket);
          OutputStream output = socket.getOutputStream();
          String head =
              "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
                      .formatted(deployment.plan().key())
                  + "Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n{";
          output.write(head.getBytes(StandardCharsets.US_ASCII));
          output.flush();
        }
        theInstanceStillServes();
      } finally {
        for (Socket socket : sockets) {
          socket.close();
        }
      }
    }
  }
}
