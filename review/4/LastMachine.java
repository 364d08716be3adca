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
 * One of three entry machines leaves as planned. Later the machine that has just accepted a batch
 * job is lost for good. The third machine is not disturbed, and reaches the store and all workers.
 */
final class LastMachine implements WorkerServer.Behaviour {
  private static final String JOB = "9d41e09b52d6a3f8";
  private static final int ITEMS = 10;
  private static final int EVENTS = 261;

  /** Time between the departure of the first machine and the job. */
  private static final long PAUSE_MILLIS = 10_000;

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
    CaseRunner.run(arguments, new LastMachine()::run);
  }

  private int run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
    ObjectNode configuration = Deployment.configuration("engine", 8);
    Deployment.addRoute(configuration, "/batch/", "batch", "engine", 3)
        .put("timeoutMs", 15_000)
        .put("latencyGoalMs", 400)
        .put("runTargetMs", 18_000)
        .put("retentionS", 60)
        .put("resumable", true)
        .put("maxCount", 2_900_000);
    deployment.store.put("config", "main", configuration);
    for (int index = 1; index <= 4; index++) {
      deployment.addWorker("w-" + index, "engine", 8, this);
    }
    if (!deployment.startEntries(3)) {
      return CaseRunner.NOT_RUN;
    }
    EntryProcess leaving = deployment.entries.get(0);
    EntryProcess accepting = deployment.entries.get(1);
    EntryProcess remaining = deployment.entries.get(2);
    record.add("SIGTERM to " + leaving.name() + ", which leaves for good");
    if (!leaving.terminate(9_000)) {
      record.report("not run: " + leaving.name() + " has not ended in time");
      return CaseRunner.NOT_RUN;
    }
    Thread.sleep(PAUSE_MILLIS);
    int status = submit(accepting);
    if (trouble && status == 202) {
      accepting.close();
      record.add(accepting.name() + " is killed and never comes back");
    }
    record.report("submission of " + ITEMS + " items: " + status);
    if (status != 202) {
      return CaseRunner.NOT_RUN;
    }
    long start = System.nanoTime();
    Set<String> listed = new HashSet<>();
    int next = 0;
    while ((System.nanoTime() - start) / 1_000_000L < TRAFFIC_MILLIS + FINISH_MILLIS) {
      Thread.sleep(500);
      next = read(remaining, record, next, listed);
    }
    return judge(deployment, remaining, record, listed);
  }

  private static int judge(
      Deployment deployment, EntryProcess remaining, CaseRecord record, Set<String> listed) {
    List<WorkerServer.Run> runs = deployment.runs();
    long quietMillis = deployment.quietMillis();
    record.report(
        listed.size() + " of " + ITEMS + " items are listed; " + runs.size()
            + " runs began at workers; " + remaining.name()
            + (remaining.isAlive() ? " is alive" : " has ended"));
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
