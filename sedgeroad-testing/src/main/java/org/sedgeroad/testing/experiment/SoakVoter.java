package org.sedgeroad.testing.experiment;

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
import org.sedgeroad.http.HttpCaller;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.store.HttpObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.PlannedRequest;

/** Votes on the limit of a member of its own and sends that member's requests. */
final class SoakVoter {
  private static final String MEMBER = "limited";
  private static final String KEY = "key-limited";
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final long LEAST_LIMIT = 4;
  private static final long LIMIT_RANGE = 8;

  private final Deployment deployment;
  private final HttpCaller caller;
  private final IntFunction<URI> balancer;
  private final SoakJournal journal;
  private final HttpObjectStore store;

  SoakVoter(
      Deployment deployment, HttpCaller caller, IntFunction<URI> balancer, SoakJournal journal) {
    this.deployment = deployment;
    this.caller = caller;
    this.balancer = balancer;
    this.journal = journal;
    this.store = HttpObjectStore.of(deployment.store(), deployment.caller(), TIMEOUT_MILLIS);
  }

  /** Creates the member. */
  void createMember() {
    ObjectNode member = JsonNodeFactory.instance.objectNode();
    member.putArray("keys").add(Authenticator.hash(KEY));
    StoreResult<StoredObject> result = store.create(Kinds.MEMBERS, MEMBER, member);
    if (!(result instanceof StoreResult.Done)) {
      throw new IllegalStateException("member not created: " + result);
    }
  }

  /** Votes a limit; a vote that is not known to have been accepted is not recorded. */
  void vote(SoakStep step) {
    long limit = LEAST_LIMIT + step.target() % LIMIT_RANGE;
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("requests_per_second", limit).put("writer", "soak");
    spec.put("writeNumber", step.number());
    StoreResult<StoredObject> current = store.get(Kinds.LIMITS, MEMBER);
    if (current instanceof StoreResult.Done<StoredObject> found) {
      store.update(Kinds.LIMITS, MEMBER, found.value().version(), spec);
    } else if (current instanceof StoreResult.Absent) {
      store.create(Kinds.LIMITS, MEMBER, spec);
    }
    // The answer may have been lost; what the store holds decides.
    StoreResult<StoredObject> after = store.get(Kinds.LIMITS, MEMBER);
    if (after instanceof StoreResult.Done<StoredObject> done
        && done.value().spec().path("writeNumber").asInt(-1) == step.number()) {
      journal.votes.add(new SoakJournal.Vote(LiveLoad.nowMicros(), limit));
    }
  }

  /** Returns a description of the difference if the limit in force is not the last accepted. */
  String reverted() {
    if (journal.votes.isEmpty()) {
      return "";
    }
    long last = journal.votes.get(journal.votes.size() - 1).requestsPerSecond();
    StoreResult<StoredObject> found = store.get(Kinds.LIMITS, MEMBER);
    boolean same =
        found instanceof StoreResult.Done<StoredObject> done
            && done.value().spec().path("requests_per_second").asLong() == last;
    return same ? "" : "the last accepted limit is " + last + ", the store holds " + found;
  }

  /** Sends one request of the member and records it if it was admitted. */
  void send(int number) {
    long start = LiveLoad.nowMicros();
    String prompt = PlannedRequest.prompt("limited-" + number, 8);
    String body = ApiClient.completion(deployment.plan().model(), prompt, 1, false).toString();
    caller
        .sendLater(
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
