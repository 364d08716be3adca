package review3;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a worker. Serves one request at a time on a connection. Thread-safe. */
final class Worker implements AutoCloseable {
  /**
   * A request that the worker has received.
   *
   * @param id attempt id
   * @param head request line and headers
   * @param lastEvent last event id, 0 without one
   * @param connection number of the connection, from 1
   */
  record Run(String id, String head, int lastEvent, int connection) {}

  /** Answers a request; returns whether the connection stays open. */
  interface Script {
    boolean answer(Socket socket, Run run) throws IOException, InterruptedException;
  }

  private static final AtomicInteger RUNNING = new AtomicInteger();

  /** Monotonic time at which a run ended last at any worker. */
  private static volatile long lastRunNanos = System.nanoTime();

  final String name;
  private final String service;
  private final int slots;
  private final String zone;
  private final ServerSocket server;
  private final AtomicInteger connections = new AtomicInteger();
  private final Script script;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  Worker(String name, String service, int slots, Script script) throws IOException {
    this(name, service, slots, "zone-0", script);
  }

  Worker(String name, String service, int slots, String zone, Script script) throws IOException {
    this.zone = zone;
    this.name = name;
    this.service = service;
    this.slots = slots;
    this.script = script;
    this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    thread.start();
  }

  ObjectNode registration() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("service", service)
        .put("address", "127.0.0.1:" + server.getLocalPort())
        .put("zone", zone)
        .put("version", "v1")
        .put("slots", slots)
        .put("state", "ready")
        .put("coldLeftMs", 0)
        .put("born", System.currentTimeMillis())
        .put("seq", 1);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        int number = connections.incrementAndGet();
        daemon(() -> serve(socket, number));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket accepted, int connection) {
    try (Socket socket = accepted) {
      boolean open = true;
      while (open) {
        String head = Client.head(socket.getInputStream());
        String length = Client.header(head, "Content-Length");
        socket.getInputStream().readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        String id = Client.header(head, "X-Attempt-Id");
        if (!Client.header(head, "X-Target-Instance").equals(name)) {
          write(
              socket,
              "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        String last = Client.header(head, "Last-Event-Id");
        Run run = new Run(id, head, last.isEmpty() ? 0 : Integer.parseInt(last), connection);
        runs.add(run);
        open = script.answer(socket, run);
      }
    } catch (IOException | InterruptedException closed) {
      // The other side has closed the connection.
    }
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns for how many seconds no worker has had a run; rejections are none. */
  static double calmSeconds() {
    return RUNNING.get() > 0 ? 0 : (System.nanoTime() - lastRunNanos) / 1e9;
  }

  /** Runs a request: writes a whole stream of events in chunks. */
  static void stream(Socket socket, Run run, int events, long gapMillis, String text)
      throws IOException, InterruptedException {
    RUNNING.incrementAndGet();
    try {
      writeStream(socket, run, events, gapMillis, text);
    } finally {
      lastRunNanos = System.nanoTime();
      RUNNING.decrementAndGet();
    }
  }

  private static void writeStream(
      Socket socket, Run run, int events, long gapMillis, String text)
      throws IOException, InterruptedException {
    write(
        socket,
        "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\nX-Attempt-Id: "
            + run.id()
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = run.lastEvent() + 1; number <= events; number++) {
      if (gapMillis > 0) {
        Thread.sleep(gapMillis);
      }
      String event = "id: " + number + "\ndata: " + number + text + "\n\n";
      write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    write(socket, "0\r\n\r\n");
  }

  /** Ends like a process that is killed: all connections are closed. */
  void crash() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
