package org.sedgeroad.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A batch job has more items than the workers have slots. While some of them wait, the operator
 * drops the job's route and keeps the others. No process and no connection is disturbed.
 */
final class DroppedRoute implements WorkerServer.Behaviour {
  private static final String JOB = "ad41e09b52d6a3f8";
  private static final int ITEMS = 60;
  private static final int EVENTS = 261;

  /** Time between the acceptance of the job and the change of the configuration. */
  private static final long CHANGE_AT_MILLIS = 2_500;

  private static final long TRAFFIC_MILLIS = 15_000;
  private static final long FINISH_MILLIS = 18_000;

  /** The quiet time before the end that the rule asks for. */
  private static final long CALM_MILLIS = 5_000;

  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public List<String> events(WorkerServer.Request request) {
    return Collections.nCopies(EVENTS, "sixty bytes of the output of one item, more or less of them");
  }

  @Override
  public long stepMillis(WorkerServer.Request request) {
    return 6;
  }

  public static void main(String[] arguments) {
    CaseRunner.run(arguments, new DroppedRoute()::run);
  }

  private int run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
    deployment.store.put("config", "main", configuration(7, true));
    for (int index = 1; index <= 2; index++) {
      deployment.addWorker("w-" + index, "engine", 8, this);
    }
    if (!deployment.startEntries(3)) {
      return CaseRunner.NOT_RUN;
    }
    int status = submit(deployment.entries.get(0));
    record.report("submission of " + ITEMS + " items: " + status);
    if (status != 202) {
      return CaseRunner.NOT_RUN;
    }
    long start = System.nanoTime();
    Set<String> listed = new HashSet<>();
    int next = 0;
    boolean changed = false;
    for (int read = 0; millisSince(start) < TRAFFIC_MILLIS + FINISH_MILLIS; read++) {
      if (trouble && !changed && millisSince(start) >= CHANGE_AT_MILLIS) {
        deployment.store.put("config", "main", configuration(11, false));
        record.add("operator: version 11 is acknowledged; it has no route for the job");
        changed = true;
      }
      Thread.sleep(500);
      next = read(deployment.entries.get(read % deployment.entries.size()), record, next, listed);
    }
    return judge(deployment, record, listed);
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000L;
  }

  private static ObjectNode configuration(int version, boolean withBatch) {
    ObjectNode configuration = Deployment.configuration("engine", 8).put("version", version);
    Deployment.addRoute(configuration, "/chat/", "streaming", "engine", 2).put("resumable", true);
    if (withBatch) {
      Deployment.addRoute(configuration, "/batch/", "batch", "engine", 3)
          .put("timeoutMs", 15_000)
          .put("latencyGoalMs", 400)
          .put("runTargetMs", 18_000)
          .put("retentionS", 60)
          .put("resumable", true)
          .put("maxCount", 2_900_000);
    }
    return configuration;
  }

  private static int judge(
      Deployment deployment, CaseRecord record, Set<String> listed) {
    long quietMillis = deployment.quietMillis();
    record.report(
        listed.size() + " of " + ITEMS + " items are listed; no worker had one for " + quietMillis + " ms");
    if (listed.size() < ITEMS && quietMillis < CALM_MILLIS) {
      record.report("not run: workers still had items");
      return CaseRunner.NOT_RUN;
    }
    record.report(listed.size() == ITEMS ? "LOST holds" : "LOST is broken");
    return listed.size() == ITEMS ? CaseRunner.HELD : CaseRunner.BROKEN;
  }

  private int submit(EntryProcess entry) throws Exception {
    ObjectNode root = mapper.createObjectNode();
    ArrayNode items = root.putArray("items");
    for (int index = 0; index < ITEMS; index++) {
      ObjectNode item = items.addObject();
      item.put("id", String.format("f5b2907c14da%04x", index));
      item.put("path", "/batch/3/" + index);
      item.putObject("headers")
          .put("X-Model", "m")
          .put("X-Token-Count", "350,2000")
          .put("X-Prompt-Prefix", "9c2e41:100," + Integer.toHexString(0x5d0000 + index) + ":250");
      byte[] body = ("prompt " + index).getBytes(StandardCharsets.UTF_8);
      item.put("body", Base64.getEncoder().encodeToString(body));
      item.put("tokens", 2_350);
    }
    List<String> headers =
        List.of(
            "Host: " + Deployment.HOST,
            "X-Attempt-Id: " + JOB,
            "X-Deadline-Ms: 4000",
            "Content-Type: application/json");
    byte[] body = mapper.writeValueAsBytes(root);
    return Client.call(entry.clientPort(), "POST", "/batch/" + JOB, headers, body, 5_500).status();
  }

  private int read(EntryProcess entry, CaseRecord record, int after, Set<String> listed)
      throws Exception {
    Client.Answer answer =
        Client.call(
            entry.clientPort(),
            "GET",
            "/lots/" + JOB + "?after=" + after,
            List.of("Host: " + Deployment.HOST, "X-Wait-Ms: 1000"),
            new byte[0],
            2_500);
    if (answer.status() != 200) {
      record.add(entry.name() + " answers " + answer.status() + " to a read from " + after);
      return after;
    }
    JsonNode page = mapper.readTree(answer.body());
    page.path("results").forEach(result -> listed.add(result.path("id").asText()));
    record.add(
        entry.name() + " lists " + page.path("results").size() + " results from " + after + " of "
            + page.path("total").asInt());
    return page.path("next").asInt();
  }
}
