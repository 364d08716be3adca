package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Stand-in for a worker: registers in the store, and runs requests as events or as one body. */
final class Worker implements AutoCloseable {
  /** A request that the worker began to run. */
  record Run(
      String worker, String id, String lastEventId, String from, long startedNanos, int[] events) {}

  private static final int QUEUE = 24;
  private static final int REPORT_MILLIS = 1_200;

  final List<Run> runs = new CopyOnWriteArrayList<>();
  final String id;
  private final Store store;
  private final String service;
  private final String zone;
  private final int slots;
  private final int eventMillis;
  private final long born = System.currentTimeMillis();
  private final Semaphore running;
  private final Semaphore admitted;
  private final HttpServer server;
  private static volatile int eventBytes;
  private volatile boolean closed;
  private volatile String state = "ready";
  private int sequence;

  /** Number of events of a request, by its X-Token-Count. */
  interface Lengths {
    int events(HttpServer.Request request);
  }

  private final Lengths lengths;

  Worker(
      Store store,
      String id,
      String service,
      String zone,
      String host,
      int slots,
      int eventMillis,
      Lengths lengths)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.eventMillis = eventMillis;
    this.lengths = lengths;
    this.running = new Semaphore(slots, true);
    this.admitted = new Semaphore(slots + QUEUE);
    this.server = new HttpServer(host, 0, this::handle);
    register();
    HttpServer.thread(this::report);
  }

  private synchronized void register() {
    ObjectNode spec = Store.MAPPER.createObjectNode();
    spec.put("service", service).put("address", server.address()).put("zone", zone);
    spec.put("version", "v1").put("slots", slots).put("state", state);
    spec.put("coldLeftMs", 0).put("seq", ++sequence).put("born", born);
    store.put("servers", id, spec);
  }

  private void report() {
    while (!closed) {
      try {
        Thread.sleep(REPORT_MILLIS);
      } catch (InterruptedException interrupted) {
        return;
      }
      if (!closed) {
        register();
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }

  private void handle(HttpServer.Request request, HttpServer.Connection connection)
      throws IOException, InterruptedException {
    String attempt = request.header("X-Attempt-Id");
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Instance-Id", id);
    if (request.path().equals("/health")) {
      connection.answer(200, headers, new byte[0]);
      return;
    }
    headers.put("X-Attempt-Id", attempt);
    if (!request.header("X-Target-Instance").isEmpty()
        && !request.header("X-Target-Instance").equals(id)) {
      connection.answer(421, headers, new byte[0]);
      return;
    }
    headers.put("X-Not-Executed", "1");
    if (attempt.isEmpty()) {
      connection.answer(400, headers, new byte[0]);
      return;
    }
    long deadline =
        System.nanoTime()
            + Long.parseLong(request.headers().getOrDefault("X-Deadline-Ms", "60000")) * 1_000_000L;
    if (!admitted.tryAcquire()) {
      connection.answer(503, headers, new byte[0]);
      return;
    }
    try {
      while (!running.tryAcquire(20, TimeUnit.MILLISECONDS)) {
        if (connection.isClosedByPeer()) {
          throw new IOException("closed");
        }
        if (System.nanoTime() - deadline > 0) {
          connection.answer(503, headers, new byte[0]);
          return;
        }
      }
      try {
        headers.remove("X-Not-Executed");
        headers.put("X-Response-Signature", "3e1b." + attempt);
        run(request, connection, headers, deadline);
      } finally {
        running.release();
      }
    } finally {
      admitted.release();
    }
  }

  private void run(
      HttpServer.Request request,
      HttpServer.Connection connection,
      Map<String, String> headers,
      long deadline)
      throws IOException, InterruptedException {
    String attempt = request.header("X-Attempt-Id");
    String last = request.header("Last-Event-Id");
    Run run =
        new Run(
            id,
            attempt,
            last,
            connection.socket.getInetAddress().getHostAddress(),
            System.nanoTime(),
            new int[1]);
    runs.add(run);
    int total = lengths.events(request);
    if (total == 0) {
      Thread.sleep(20);
      headers.put("Content-Type", "text/plain");
      connection.answer(200, headers, ("answer " + attempt).getBytes(StandardCharsets.UTF_8));
      return;
    }
    headers.put("Content-Type", "text/event-stream");
    connection.beginChunks(200, headers);
    for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= total; event++) {
      Thread.sleep(eventMillis);
      if (connection.isClosedByPeer() || System.nanoTime() - deadline > 0) {
        throw new IOException("closed");
      }
      connection.chunk(
          ("id: " + event + "\ndata: " + text(attempt, event) + "\n\n")
              .getBytes(StandardCharsets.UTF_8));
      run.events()[0] = event;
    }
    connection.endChunks();
  }

  /** Sets the length of the text of each event, in bytes. */
  static void setEventBytes(int bytes) {
    eventBytes = bytes;
  }

  /** Text of an event of a request. */
  static String text(String attempt, int event) {
    String text = attempt + "-" + event;
    return text + " ".repeat(Math.max(0, eventBytes - text.length()));
  }
}
