package org.sedgeroad.testing.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.IntFunction;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.api.Authenticator;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.store.HttpObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.PlannedRequest;

/** Changes the limit of a member created for this purpose and sends requests of this member. */
final class SoakLimitDriver {
  private static final String MEMBER = "limited";
  private static final String KEY = "key-limited";
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final int ATTEMPTS = 4;
  private static final long MIN_LIMIT = 4;
  private static final long LIMIT_RANGE = 8;

  private final Deployment deployment;
  private final PooledHttpClient httpClient;
  private final IntFunction<URI> balancer;
  private final SoakJournal journal;
  private final HttpObjectStore store;

  SoakLimitDriver(
      Deployment deployment,
      PooledHttpClient httpClient,
      IntFunction<URI> balancer,
      SoakJournal journal) {
    this.deployment = deployment;
    this.httpClient = httpClient;
    this.balancer = balancer;
    this.journal = journal;
    this.store = HttpObjectStore.of(deployment.store(), deployment.httpClient(), TIMEOUT_MILLIS);
  }

  /**
   * Creates the member.
   *
   * @throws IllegalStateException if the store doesn't confirm it
   */
  void createMember() {
    ObjectNode member = JsonNodeFactory.instance.objectNode();
    member.putArray("keys").add(Authenticator.hashKey(KEY));
    StoreResult<StoredObject> result = store.create(Kinds.MEMBERS, MEMBER, member);
    if (!(result instanceof StoreResult.Done)) {
      throw new IllegalStateException("member not created: " + result);
    }
  }

  /**
   * Sets a limit with up to 4 attempts. Sending a change of unknown outcome again finds out whether
   * it took effect.
   */
  void changeLimit(SoakStep step) {
    long limit = MIN_LIMIT + step.target() % LIMIT_RANGE;
    String outcome = "";
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      outcome =
          sendStatement(step.target() + attempt, OperatorClient.setLimit(MEMBER, limit))
              .path("outcome")
              .asText();
      if (outcome.equals("done")) {
        journal.limitChanges.add(new SoakJournal.LimitChange(LiveLoad.nowMicros(), limit));
        return;
      }
    }
    if (outcome.equals("unknown")) {
      journal.uncertainLimitChanges.add(new SoakJournal.LimitChange(LiveLoad.nowMicros(), limit));
    }
  }

  /**
   * Compares the limit in force with the last accepted one. Returns a description of the
   * difference, empty if there is none or if the expected limit isn't known.
   */
  String describeLimitDifference() {
    if (journal.limitChanges.isEmpty() || !journal.uncertainLimitChanges.isEmpty()) {
      return "";
    }
    long last = journal.limitChanges.get(journal.limitChanges.size() - 1).requestsPerSecond();
    JsonNode shown = sendStatement(0, "SHOW LIMITS OF MEMBER '" + MEMBER + "'");
    for (JsonNode row : shown.path("rows")) {
      if (row.path(1).asText().equals("requests-per-second")) {
        return row.path(2).asLong() == last
            ? ""
            : "the last accepted limit is " + last + ", the limit in force is " + row;
      }
    }
    return "the last accepted limit is " + last + ", SHOW LIMITS returned " + shown;
  }

  private JsonNode sendStatement(int number, String statement) {
    URI operators =
        deployment.entries().get(number % deployment.entries().size()).operatorAddress();
    return OperatorClient.send(httpClient, operators, statement);
  }

  /** Sends one request of the member and records its start if it is admitted. */
  void sendRequest(int number) {
    long start = LiveLoad.nowMicros();
    String prompt = PlannedRequest.prompt("limited-" + number, 8);
    String body = ApiClient.completionBody(deployment.plan().model(), prompt, 1, false).toString();
    httpClient
        .sendAsync(
            new HttpCall(
                "POST",
                balancer.apply(number).resolve("/v1/completions"),
                Map.of("Authorization", "Bearer " + KEY),
                body.getBytes(StandardCharsets.UTF_8),
                false,
                MonotonicClock.SYSTEM.deadlineAfterMillis(TIMEOUT_MILLIS)))
        .thenAccept(
            result -> {
              if (result instanceof HttpResult.Answered whole && whole.head().status() == 200) {
                journal.limitedAdmissions.add(start);
              }
            });
  }
}
