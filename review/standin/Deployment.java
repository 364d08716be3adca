package org.sedgeroad.review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A small deployment: a store and workers, which are stand-ins, and entry processes. The first
 * configuration is written before the entry processes start.
 */
final class Deployment implements AutoCloseable {
  static final String HOST = "desk.example";
  private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

  final StoreServer store;
  final List<WorkerServer> workers = new ArrayList<>();
  final List<EntryProcess> entries = new ArrayList<>();
  private final Path folder = Files.createTempDirectory("sedgeroad-review");
  private final CaseRecord record;

  Deployment(CaseRecord record) throws IOException {
    this.record = record;
    this.store = new StoreServer(record);
  }

  /** Returns a configuration with one service and its routes, and no other. */
  static ObjectNode configuration(String service, int slots) {
    ObjectNode root = new ObjectMapper().createObjectNode().put("version", 7);
    root.putArray("routes");
    ObjectNode entry = root.putArray("services").addObject().put("name", service);
    entry.put("healthPath", "/health").put("maxConns", 310);
    entry.putObject("engine").put("slots", slots);
    root.putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 4_194_304)
        .put("headerTimeoutMs", 5_000)
        .put("idleTimeoutMs", 10_000);
    return root;
  }

  static ObjectNode addRoute(
      ObjectNode configuration, String prefix, String kind, String service, int attempts) {
    return ((ArrayNode) configuration.path("routes"))
        .addObject()
        .put("name", prefix.replace("/", ""))
        .put("host", HOST)
        .put("pathPrefix", prefix)
        .put("service", service)
        .put("kind", kind)
        .put("timeoutMs", 5_000)
        .put("latencyGoalMs", 300)
        .put("maxAttempts", attempts)
        .put("priority", 0);
  }

  void addWorker(String name, String service, int slots, WorkerServer.Behaviour behaviour)
      throws IOException {
    WorkerServer worker = new WorkerServer(name, slots, behaviour, record);
    String zone = ZONES[workers.size() % ZONES.length];
    workers.add(worker);
    store.put("servers", name, worker.registration(service, zone));
  }

  /** Starts entry processes, one after the other zone; returns whether all are ready. */
  boolean startEntries(int count) throws IOException, InterruptedException {
    for (int index = 0; index < count; index++) {
      String zone = ZONES[index % ZONES.length];
      entries.add(EntryProcess.start("edge-" + zone + "-1", zone, store.port(), folder));
    }
    for (EntryProcess entry : entries) {
      if (!entry.awaitReady()) {
        record.report("not run: " + entry.name() + " is not ready");
        return false;
      }
    }
    // Traffic starts some seconds after the machines do.
    Thread.sleep(6_000);
    return true;
  }

  /** Returns all runs of all workers. */
  List<WorkerServer.Run> runs() {
    return workers.stream().flatMap(worker -> worker.runs().stream()).toList();
  }

  /** Returns for how long no worker has had a request, in milliseconds. */
  long quietMillis() {
    return workers.stream().mapToLong(WorkerServer::quietMillis).min().orElse(0);
  }

  @Override
  public void close() throws IOException {
    entries.forEach(EntryProcess::close);
    for (WorkerServer worker : workers) {
      worker.close();
    }
    store.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs: " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
