package org.sedgeroad.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A client submits one batch job whose outputs are Japanese text, three bytes a character. The
 * platform's store is down for 4.5 s while items finish. After that all is calm, and the client
 * reads until {@code finishS} after the end of traffic.
 */
final class ResultsAfterOutage implements WorkerServer.Behaviour {
  private static final String JOB = "7c41e09b52d6a3f8";
  private static final int ITEMS = 160;

  /** Events of an item and characters of an event; the sheets have 261 events of 60 bytes. */
  private static final int EVENTS = 261;

  private static final int EVENT_CHARACTERS = 20;
  private static final long OUTAGE_AT_MILLIS = 1_800;
  private static final long OUTAGE_MILLIS = 4_500;
  private static final long TRAFFIC_MILLIS = 12_000;
  private static final long FINISH_MILLIS = 18_000;

  /** The quiet time before the end that the rule asks for. */
  private static final long CALM_MILLIS = 5_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final List<String> events;

  private ResultsAfterOutage() {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < EVENT_CHARACTERS; index++) {
      // Hiragana letters.
      text.append((char) (0x3042 + index * 2));
    }
    events = Collections.nCopies(EVENTS, text.toString());
  }

  @Override
  public List<String> events(WorkerServer.Request request) {
    return events;
  }

  @Override
  public long stepMillis(WorkerServer.Request request) {
    return 4;
  }

  public static void main(String[] arguments) {
    CaseRunner.run(arguments, new ResultsAfterOutage()::run);
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
    long start = System.nanoTime();
    int status = submit(deployment);
    record.report("submission of " + ITEMS + " items: " + status);
    if (status != 202) {
      return CaseRunner.NOT_RUN;
    }
    int next = 0;
    Map<String, String> outputs = new HashMap<>();
    boolean down = false;
    boolean wasDown = false;
    for (int read = 0; millisSince(start) < TRAFFIC_MILLIS + FINISH_MILLIS; read++) {
      if (trouble && !wasDown && millisSince(start) >= OUTAGE_AT_MILLIS) {
        deployment.store.setMode(StoreServer.Mode.SILENT);
        down = true;
        wasDown = true;
      }
      if (down && millisSince(start) >= OUTAGE_AT_MILLIS + OUTAGE_MILLIS) {
        deployment.store.setMode(StoreServer.Mode.UP);
        down = false;
      }
      next = read(deployment, record, read, next, outputs);
      Thread.sleep(400);
    }
    // The final read is from the start, as the platform's clients do it, again after a failure.
    outputs.clear();
    next = 0;
    for (int read = 0; read < 30 && next < ITEMS; read++) {
      next = read(deployment, record, read, next, outputs);
    }
    return judge(deployment, record, outputs);
  }

  private int judge(Deployment deployment, CaseRecord record, Map<String, String> outputs) {
    String whole = String.join("\n", events);
    long wrong = outputs.values().stream().filter(output -> !output.equals(whole)).count();
    List<WorkerServer.Run> runs = deployment.runs();
    long run = runs.stream().map(WorkerServer.Run::id).distinct().count();
    long quietMillis = deployment.quietMillis();
    record.report(
        outputs.size() + " of " + ITEMS + " items are listed, " + wrong + " with a wrong output; "
            + run + " items ran at workers, no worker had one for " + quietMillis + " ms");
    if (outputs.size() < ITEMS && quietMillis < CALM_MILLIS) {
      record.report("not run: workers still had items");
      return CaseRunner.NOT_RUN;
    }
    boolean held = outputs.size() == ITEMS && wrong == 0;
    record.report(held ? "LOST holds" : "LOST is broken");
    return held ? CaseRunner.HELD : CaseRunner.BROKEN;
  }

  private int submit(Deployment deployment) throws Exception {
    ObjectNode root = mapper.createObjectNode();
    ArrayNode items = root.putArray("items");
    for (int index = 0; index < ITEMS; index++) {
      ObjectNode item = items.addObject();
      item.put("id", String.format("e5b2907c14da%04x", index));
      item.put("path", "/batch/3/" + index);
      item.putObject("headers")
          .put("X-Model", "m")
          .put("X-Token-Count", "350,5220")
          .put("X-Prompt-Prefix", "9c2e41:100," + Integer.toHexString(0x5d0000 + index) + ":250");
      byte[] body = ("prompt " + index).getBytes(StandardCharsets.UTF_8);
      item.put("body", Base64.getEncoder().encodeToString(body));
      item.put("tokens", 5_570);
    }
    List<String> headers =
        List.of(
            "Host: " + Deployment.HOST,
            "X-Attempt-Id: " + JOB,
            "X-Deadline-Ms: 4000",
            "Content-Type: application/json");
    int port = deployment.entries.get(0).clientPort();
    return Client.call(
            port, "POST", "/batch/" + JOB, headers, mapper.writeValueAsBytes(root), 5_500)
        .status();
  }

  /** Reads a page at one of the entry processes; returns the position after it. */
  private int read(
      Deployment deployment, CaseRecord record, int number, int after, Map<String, String> outputs)
      throws Exception {
    EntryProcess entry = deployment.entries.get(number % deployment.entries.size());
    List<String> headers = List.of("Host: " + Deployment.HOST);
    Client.Answer answer =
        Client.call(
            entry.clientPort(), "GET", "/lots/" + JOB + "?after=" + after, headers, new byte[0],
            2_500);
    if (answer.status() != 200) {
      record.add(entry.name() + " answers " + answer.status() + " to a read from " + after);
      return after;
    }
    JsonNode page = mapper.readTree(answer.body());
    for (JsonNode result : page.path("results")) {
      outputs.put(result.path("id").asText(), result.path("output").asText());
    }
    record.add(
        entry.name() + " lists " + page.path("results").size() + " results from " + after + " of "
            + page.path("total").asInt());
    return page.path("next").asInt();
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000L;
  }
}
