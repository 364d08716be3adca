package org.sedgeroad.testing.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.testing.deployment.Deployment;

/** Static methods that send operators' statements to an instance. */
public final class OperatorClient {
  private static final long TIMEOUT_MILLIS = 15_000;

  private OperatorClient() {}

  /** Returns the statement that limits the requests per second of a member. */
  public static String setLimit(String member, long requestsPerSecond) {
    return "SET LIMIT requests-per-second OF MEMBER '" + member + "' TO " + requestsPerSecond;
  }

  /**
   * Sends one statement.
   *
   * @return result of the statement; without a valid answer within 15 s a result with the outcome
   *     {@code unknown} and a reason
   */
  public static JsonNode send(PooledHttpClient httpClient, URI operators, String statement) {
    HttpResult result =
        httpClient.send(
            new HttpCall(
                "POST",
                operators.resolve("/admin/commands"),
                Map.of("Authorization", "Bearer " + Deployment.OPERATOR_TOKEN),
                statement.getBytes(StandardCharsets.UTF_8),
                true,
                MonotonicClock.SYSTEM.deadlineAfterMillis(TIMEOUT_MILLIS)));
    ObjectMapper mapper = new ObjectMapper();
    try {
      if (result instanceof HttpResult.Answered answered && answered.head().status() == 200) {
        return mapper.readTree(answered.body()).path("results").path(0);
      }
    } catch (IOException invalid) {
      return mapper.createObjectNode().put("outcome", "unknown").put("reason", "not JSON");
    }
    return mapper.createObjectNode().put("outcome", "unknown").put("reason", result.toString());
  }
}
