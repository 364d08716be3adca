package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, workers and entry processes. */
final class Scene implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  final Store store;
  final List<Worker> workers = new ArrayList<>();
  final List<Entry> entries = new ArrayList<>();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  /** Loopback network of this run, so that runs at the same time use different addresses. */
  private final String network = "127." + (10 + ProcessHandle.current().pid() % 200);

  private final Path folder = Files.createTempDirectory("sedgeroad-review");
  private final long startNanos = System.nanoTime();
  private final PrintStream record;

  Scene(Path record) throws IOException {
    this.record = new PrintStream(Files.newOutputStream(record), true, StandardCharsets.UTF_8);
    this.store = new Store(network + ".2.1", 0);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    note("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
  }

  /** Writes a line into the record. */
  synchronized void note(String text) {
    record.printf(Locale.ROOT, "%8.3f %s%n", seconds(System.nanoTime()), text);
  }

  double seconds(long nanos) {
    return (nanos - startNanos) / 1e9;
  }

  /** Writes a configuration with a route of each kind. */
  void configure(long version, long maximumTokens) {
    ObjectNode root = Store.MAPPER.createObjectNode().put("version", version);
    ObjectNode limits = root.putObject("limits");
    limits.put("maxHeaderBytes", 16_384).put("maxBodyBytes", 4_194_304);
    limits.put("headerTimeoutMs", 10_000).put("idleTimeoutMs", 60_000);
    ArrayNode routes = root.putArray("routes");
    route(routes, "/lohu930/", "streaming", 2, 5_000).put("resumable", true).put("sticky", true);
    route(routes, "/puxa403/", "idempotent", 2, 2_500);
    route(routes, "/kesi118/", "non_idempotent", 2, 5_000);
    route(routes, "/pule252/", "batch", 3, 15_000)
        .put("sticky", true)
        .put("runTargetMs", 18_000)
        .put("retentionS", 120)
        .put("maxCount", maximumTokens);
    ObjectNode service = root.putArray("services").addObject().put("name", "tallador-lm");
    service.putObject("engine").put("slots", 8).put("kvCacheTokens", 101_945);
    store.put("config", "main", root);
  }

  private static ObjectNode route(
      ArrayNode routes, String prefix, String kind, int attempts, long timeoutMillis) {
    return routes
        .addObject()
        .put("name", "route" + prefix.replace('/', '-'))
        .put("host", Client.HOST)
        .put("pathPrefix", prefix)
        .put("kind", kind)
        .put("timeoutMs", timeoutMillis)
        .put("latencyGoalMs", 400)
        .put("gapTargetMs", 250)
        .put("priority", kind.equals("batch") ? 2 : 0)
        .put("service", "tallador-lm")
        .put("maxAttempts", attempts);
  }

  Worker addWorker(String id, String zone, int slots, int eventMillis, Worker.Lengths lengths)
      throws IOException {
    String host = network + ".3." + (workers.size() + 1);
    Worker worker =
        new Worker(store, id, "tallador-lm", zone, host, slots, eventMillis, lengths);
    workers.add(worker);
    return worker;
  }

  /** Starts an entry process. */
  Entry addEntry(String name, String zone) throws IOException {
    String host = network + ".1." + (entries.size() + 1);
    Entry entry = new Entry(folder, name, zone, host, store.address());
    entries.add(entry);
    entry.start();
    note("started " + name);
    return entry;
  }

  /** Waits until a condition holds; throws after a number of seconds. */
  void await(String what, double seconds, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new IllegalStateException("not reached: " + what);
      }
      Thread.sleep(20);
    }
  }

  /** Number of events of a request from its X-Token-Count, 0 for a plain request. */
  static int events(HttpServer.Request request) {
    String count = request.header("X-Token-Count");
    return count.isEmpty() ? 0 : Integer.parseInt(count.split(",")[1]);
  }

  /** Returns the stored owner of a job, for the record only. */
  String owner(String job) {
    JsonNode spec = store.find("jobs", job).path("spec");
    return spec.path("owner").asText("?");
  }

  List<Worker.Run> runs() {
    return workers.stream()
        .flatMap(worker -> worker.runs.stream())
        .sorted(Comparator.comparingLong(Worker.Run::startedNanos))
        .toList();
  }

  /** Copies the logs of the processes into a folder, if one is named in LOGS. */
  private void keepLogs() {
    String target = System.getenv("LOGS");
    if (target != null) {
      for (Entry entry : entries) {
        try {
          Files.createDirectories(Path.of(target));
          Files.copy(
              entry.log(),
              Path.of(target, entry.name + ".log"),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException failure) {
          throw new UncheckedIOException(failure);
        }
      }
    }
  }

  private void endProcesses() {
    entries.forEach(Entry::close);
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    keepLogs();
    for (Worker worker : workers) {
      worker.close();
    }
    store.close();
    record.flush();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }
}
