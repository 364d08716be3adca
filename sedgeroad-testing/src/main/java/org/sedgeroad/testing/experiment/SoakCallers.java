package org.sedgeroad.testing.experiment;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.engine.GenerationRequest;
import org.sedgeroad.testing.load.Balancer;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.PlannedRequest;

/**
 * Submits and cancels batch jobs, and sends non-idempotent calls and requests that crash an engine,
 * during a soak.
 */
final class SoakCallers {
  private static final int ITEM_PROMPT_TOKENS = 60;
  private static final int ITEM_ANSWER_TOKENS = 16;

  private final long seed;
  private final Deployment deployment;
  private final Balancer balancer;
  private final SoakJournal journal;

  SoakCallers(long seed, Deployment deployment, Balancer balancer, SoakJournal journal) {
    this.seed = seed;
    this.deployment = deployment;
    this.balancer = balancer;
    this.journal = journal;
  }

  /** Submits a job of 100 to 399 items and records it unless it is refused. */
  void submit(SoakStep step) {
    int items = 100 + step.target() * 3 / 10;
    String label = "job-" + seed + "-" + step.number();
    List<String> prompts = new ArrayList<>();
    for (int index = 0; index < items; index++) {
      // A few items fail at every attempt and must end with an error.
      boolean neverCompletes = index % 97 == 96;
      String name = label + "-" + index + (neverCompletes ? " FAIL-ALWAYS" : "");
      prompts.add(PlannedRequest.prompt(name, ITEM_PROMPT_TOKENS));
    }
    ApiClient client = client(step.target());
    ApiAnswer upload = client.upload(deployment.plan().model(), prompts, ITEM_ANSWER_TOKENS);
    if (upload.status() == 200) {
      String file = client.json(upload).path("id").asText();
      ApiAnswer answer = client.submit(file, Map.of("Idempotency-Key", label));
      if (answer.status() == 200) {
        String id = client.json(answer).path("id").asText();
        journal.jobs.add(new SoakJournal.SubmittedJob(id, label, file, items, label));
      }
    }
  }

  /** Submits an earlier job again through another instance. */
  void resubmit(SoakStep step) {
    if (!journal.jobs.isEmpty()) {
      SoakJournal.SubmittedJob job = journal.jobs.get(step.target() % journal.jobs.size());
      ApiClient client = client(step.target() + 1);
      ApiAnswer answer = client.submit(job.file(), Map.of("Idempotency-Key", job.key()));
      if (answer.status() == 200) {
        JsonNode body = client.json(answer);
        journal.resubmissions.add(new SoakJournal.Resubmission(job.id(), body.path("id").asText()));
      }
    }
  }

  /** Cancels the latest job. */
  void cancel(SoakStep step) {
    if (!journal.jobs.isEmpty()) {
      String id = journal.jobs.get(journal.jobs.size() - 1).id();
      String path = "/v1/batches/" + id + "/cancel";
      ApiAnswer answer = client(step.target()).send("POST", path, new byte[0], Map.of());
      if (answer.status() == 200) {
        journal.cancellations.add(new SoakJournal.Cancellation(id, LiveLoad.nowMicros()));
      }
    }
  }

  /** Sends the same request two times; it crashes the engine that runs it. */
  void sendCrashRequest(SoakStep step) {
    String prompt = GenerationRequest.CRASH_MARK + " " + seed + "-" + step.number();
    for (int attempt = 0; attempt < 2; attempt++) {
      client(step.target() + attempt)
          .complete(deployment.plan().model(), prompt, ITEM_ANSWER_TOKENS, true);
    }
  }

  /**
   * Sends a call that must be executed at most once. Every second call has an idempotency key and
   * is sent twice.
   */
  void callService(int number) {
    String text =
        JsonNodeFactory.instance.objectNode().put("order", seed + "-" + number).toString();
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    String hash = HexFormat.of().toHexDigits(Hashing.xxh3_64().hashBytesToLong(body));
    boolean keyed = number % 2 == 0;
    Map<String, String> headers =
        keyed ? Map.of("Idempotency-Key", "order-" + seed + "-" + number) : Map.of();
    List<String> work = new CopyOnWriteArrayList<>();
    for (int attempt = 0; attempt < (keyed ? 2 : 1); attempt++) {
      String path = "/" + deployment.plan().service() + "/orders";
      ApiAnswer answer = client(number + attempt).send("POST", path, body, headers);
      work.add(answer.status() == 200 ? "ran" : answer.work());
    }
    journal.serviceCalls.add(new SoakJournal.ServiceCall(hash, work));
  }

  private ApiClient client(int number) {
    return new ApiClient(deployment.httpClient(), balancer.apply(number), deployment.plan().key());
  }
}
