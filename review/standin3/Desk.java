package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: a store, workers, instances, and the clients' calls; keeps the record. */
final class Desk implements AutoCloseable {
  static final String CHAT = "/chat/";
  static final String STATUS = "/status/";
  static final String BATCH = "/batch/";
  static final ObjectMapper MAPPER = new ObjectMapper();

  /** Bounds of the sheet of lenga-serv. */
  static final Map<String, String> BOUNDS =
      Map.of("statusS", "120", "graceS", "8", "quotaOverage", "0.1");

  final Store store = new Store();
  final List<Instances.Instance> instances = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  final Path folder;
  final Instances processes;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();

  Desk(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("review3-");
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    processes = new Instances(folder, store.address(), BOUNDS);
  }

  /** The part of a case that sends and judges; returns 1 if the rule was broken, else 0, or 2. */
  interface Case {
    int run(Desk desk) throws Exception;
  }

  /** Runs a case in its folder and ends this process with the result. */
  static void run(String caseFolder, Case part) {
    int status = 2;
    try (Desk desk = new Desk(Path.of(caseFolder, "record.txt"))) {
      status = part.run(desk);
      desk.note(status == 1 ? "BROKEN" : status == 0 ? "held" : "the case could not run");
    } catch (Throwable failure) {
      // Also an error: the status 1 of an uncaught one would mean that the rule was broken.
      status = 2;
      failure.printStackTrace();
    }
    System.exit(status);
  }

  /**
   * Judges LOST at the end: items that are not listed break it unless a worker had a run in the
   * last 20 s, which covers each of the rule's spans (5 s, 3 s, and 20 s after a failure).
   */
  int judgeUnlisted(int unlisted) {
    double calm = Worker.calmSeconds();
    note("items not listed at the end: " + unlisted + "; no worker has had a run for " + calm + " s");
    return unlisted == 0 ? 0 : calm >= 20 ? 1 : 2;
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Writes a line to the record. */
  synchronized void note(String text) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    record.printf(Locale.ROOT, "%8.3f %s%n", seconds, text);
    record.flush();
  }

  void add(Worker worker) {
    workers.add(worker);
    store.put("servers", worker.name, worker.registration());
  }

  /** Writes the first configuration: a route of each kind, and the limits of lenga-serv. */
  void configure(int batchAttempts, long waitingTokens) {
    ObjectNode root = MAPPER.createObjectNode().put("version", 3);
    root.putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 4_194_304)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    ArrayNode routes = root.putArray("routes");
    route(routes, "chat", CHAT, "streaming", 2, 5_000, "engine")
        .put("resumable", true)
        .put("gapTargetMs", 250);
    route(routes, "status", STATUS, "idempotent", 2, 2_500, "engine");
    route(routes, "briefs", BATCH, "batch", batchAttempts, 15_000, "engine")
        .put("runTargetMs", 18_000)
        .put("retentionS", 60)
        .put("maxCount", waitingTokens);
    ObjectNode service = root.putArray("services").addObject().put("name", "engine");
    service.put("healthPath", "/health").putObject("engine").put("slots", 8);
    store.put("config", "main", root);
  }

  private static ObjectNode route(
      ArrayNode routes,
      String name,
      String prefix,
      String kind,
      int attempts,
      long timeoutMillis,
      String service) {
    return routes
        .addObject()
        .put("name", name)
        .put("host", "desk.example")
        .put("pathPrefix", prefix)
        .put("kind", kind)
        .put("timeoutMs", timeoutMillis)
        .put("latencyGoalMs", 400)
        .put("priority", 0)
        .put("service", service)
        .put("maxAttempts", attempts);
  }

  /** Starts instances, each in a zone of its own, and waits until they are ready. */
  void start(int count) throws IOException, InterruptedException {
    List<String> zones = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      zones.add("zone-" + index);
    }
    for (int index = 0; index < count; index++) {
      instances.add(processes.start("edge-" + index, zones.get(index), zones));
    }
    for (Instances.Instance instance : instances) {
      processes.awaitReady(instance);
    }
    note("ready: " + count + " instances");
  }

  Client.Answer call(
      int instance, String method, String target, Map<String, String> headers, byte[] body) {
    return call(instance, method, target, headers, body, 6_000);
  }

  Client.Answer call(
      int instance,
      String method,
      String target,
      Map<String, String> headers,
      byte[] body,
      int timeoutMillis) {
    Instances.Instance to = instances.get(instance);
    return Client.call(to.ip, to.clientPort, method, target, headers, body, timeoutMillis);
  }

  /** Returns the body of a submission. */
  static byte[] job(String id, int items, int bodyBytes, int tokens) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode list = root.putArray("items");
    byte[] body = "b".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII);
    for (int index = 0; index < items; index++) {
      ObjectNode item = list.addObject().put("id", id + "i" + index).put("path", BATCH + "3/91c4");
      item.putObject("headers")
          .put("X-Model", "m")
          .put("X-Token-Count", tokens / 2 + "," + (tokens - tokens / 2))
          .put("X-Prompt-Prefix", "9c2e41:" + tokens / 2);
      item.put("body", Base64.getEncoder().encodeToString(body)).put("tokens", tokens);
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  int submit(int instance, String id, byte[] job) {
    Client.Answer answer =
        call(instance, "POST", BATCH + id, Map.of("X-Attempt-Id", id), job, 4_000);
    note("submit " + id + " (" + job.length + " bytes) at " + instance + " -> " + answer.status());
    return answer.status();
  }

  /** Reads results from a position; an empty object if the status is not 200. */
  JsonNode results(int instance, String id, int after) throws IOException {
    Client.Answer answer =
        call(
            instance, "GET", "/lots/" + id + "?after=" + after, Map.of("X-Wait-Ms", "1000"), null,
            2_500);
    return answer.status() == 200 && answer.complete()
        ? MAPPER.readTree(answer.body())
        : MAPPER.createObjectNode().put("status", answer.status());
  }

  /** Reads results from the beginning; an object with the status if there are none. */
  JsonNode resultsOrStatus(int instance, String id) {
    try {
      return results(instance, id, 0);
    } catch (IOException malformed) {
      return MAPPER.createObjectNode().put("malformed", malformed.getMessage());
    }
  }

  /** Writes the ends of the instances' logs to the record. */
  void noteLogs(String pattern) throws IOException {
    for (Instances.Instance instance : instances) {
      try (Stream<String> lines = Files.lines(instance.output)) {
        List<String> found = lines.filter(line -> line.matches(pattern)).toList();
        for (String line : found.subList(0, Math.min(5, found.size()))) {
          note(instance.name + " log: " + line);
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    processes.close();
    for (Worker worker : workers) {
      worker.close();
    }
    store.close();
    record.close();
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      }
    } else {
      System.err.println("kept " + folder);
    }
  }
}
