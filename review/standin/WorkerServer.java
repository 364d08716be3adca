package org.sedgeroad.review;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * Stand-in for a worker as PROTOCOL.md describes it: it has slots, rejects what it has no room for,
 * and answers with a stream of events or a plain body. Thread-safe.
 */
final class WorkerServer implements AutoCloseable {
  /** Requests that may wait for a slot. */
  private static final int QUEUE = 4;

  /** Time between the two parts of a plain answer, in milliseconds. */
  private static final long PART_MILLIS = 5;

  /** What a worker does with one request. */
  interface Behaviour {
    /** Returns the data of the events of an answer. */
    List<String> events(Request request);

    /** Returns the time between two events, or of the whole run of a plain answer. */
    long stepMillis(Request request);

    /** Returns whether the answer of the request, which has run, is lost by a reset. */
    default boolean losesAnswer(Request request) {
      return false;
    }

    /** Returns whether the answer is a stream of events. */
    default boolean isStream(Request request) {
      return true;
    }
  }

  /** A request as it was received; header names are not case-sensitive. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String id() {
      return headers.getOrDefault("X-Attempt-Id", "");
    }
  }

  /** A run that has begun. */
  record Run(String id, String worker, long atNanos) {}

  private final String name;
  private final int slots;
  private final Behaviour behaviour;
  private final CaseRecord record;
  private final ServerSocket server;
  private final Semaphore running;
  private final Semaphore admitted;
  private final List<Run> runs = new ArrayList<>();
  private int active;
  private long lastActiveNanos = System.nanoTime();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  WorkerServer(String name, int slots, Behaviour behaviour, CaseRecord record) throws IOException {
    this.name = name;
    this.slots = slots;
    this.behaviour = behaviour;
    this.record = record;
    this.running = new Semaphore(slots, true);
    this.admitted = new Semaphore(slots + QUEUE);
    this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  String name() {
    return name;
  }

  /** Returns what the worker writes about itself into the platform's store. */
  ObjectNode registration(String service, String zone) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("service", service)
        .put("address", "127.0.0.1:" + server.getLocalPort())
        .put("zone", zone)
        .put("version", "v1")
        .put("slots", slots)
        .put("state", "ready")
        .put("coldLeftMs", 0)
        .put("seq", 1)
        .put("born", System.currentTimeMillis());
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  /** Returns for how long no request has run or waited here, in milliseconds. */
  synchronized long quietMillis() {
    return active > 0 ? 0 : (System.nanoTime() - lastActiveNanos) / 1_000_000L;
  }

  private synchronized void addActive(int change) {
    active += change;
    lastActiveNanos = System.nanoTime();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Request request = read(in);
        if (request == null || !answer(request, socket)) {
          return;
        }
      }
    } catch (IOException closed) {
      // The caller has closed the connection, which ends the run.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Answers a request; returns whether the connection stays open. */
  private boolean answer(Request request, Socket socket) throws IOException {
    OutputStream out = socket.getOutputStream();
    if (!name.equals(request.headers().get("X-Target-Instance"))) {
      record.add(name + " rejects " + request.id() + " with 421");
      send(out, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    if (!admitted.tryAcquire()) {
      record.add(name + " rejects " + request.id() + " with 503, not run");
      send(
          out,
          "HTTP/1.1 503 Full\r\nX-Attempt-Id: " + request.id()
              + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    addActive(1);
    try {
      running.acquireUninterruptibly();
      try {
        return run(request, socket, out);
      } finally {
        running.release();
      }
    } finally {
      addActive(-1);
      admitted.release();
    }
  }

  private boolean run(Request request, Socket socket, OutputStream out) throws IOException {
    synchronized (this) {
      runs.add(new Run(request.id(), name, System.nanoTime()));
    }
    String last = request.headers().get("Last-Event-Id");
    record.add(
        name + " runs " + request.method() + " " + request.target() + " " + request.id()
            + (last == null ? "" : " after event " + last));
    List<String> events = behaviour.events(request);
    long step = behaviour.stepMillis(request);
    if (behaviour.losesAnswer(request)) {
      pause(behaviour.isStream(request) ? step * events.size() : step);
      record.add(name + " loses the answer of " + request.id());
      socket.setSoLinger(true, 0);
      return false;
    }
    String head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Response-Signature: sig."
            + request.id() + "\r\n";
    if (!behaviour.isStream(request)) {
      pause(step);
      byte[] body = String.join("\n", events).getBytes(StandardCharsets.UTF_8);
      // The head and the body are sent as they are ready, in two parts.
      send(out, head + "Content-Length: " + body.length + "\r\n\r\n");
      out.write(body, 0, body.length / 2);
      pause(PART_MILLIS);
      out.write(body, body.length / 2, body.length - body.length / 2);
    } else {
      send(out, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      int first = last == null ? 1 : Integer.parseInt(last) + 1;
      for (int number = first; number <= events.size(); number++) {
        pause(step);
        byte[] event =
            ("id: " + number + "\ndata: " + events.get(number - 1) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
        send(out, Integer.toHexString(event.length) + "\r\n");
        out.write(event);
        send(out, "\r\n");
      }
      send(out, "0\r\n\r\n");
    }
    out.flush();
    record.add(name + " has answered " + request.id());
    return true;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static Request read(BufferedInputStream in) throws IOException {
    String[] first = line(in).split(" ");
    if (first.length < 3) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    return new Request(first[0], first[1], headers, in.readNBytes(length));
  }

  private static String line(BufferedInputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        text.append((char) next);
      }
    }
    return text.toString();
  }
}
