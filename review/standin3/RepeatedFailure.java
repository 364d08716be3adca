package review3;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker fails each odd run of an item with 500. It writes one in forty of its answers once more,
 * where the answer to the next request on the connection is expected. A second worker is full.
 */
final class RepeatedFailure {
  /** Attempts of the batch route, as on the small sites. */
  private static final int ATTEMPTS = 3;

  private static final int JOBS = 3;

  /** Answers of the worker for each copy: garble spoils a share of 0.03 of them. */
  private static final int ANSWERS_PER_COPY = 40;

  /** Time for which answers are copied, that of garble "extra late" on the small sites. */
  private static final long COPY_SECONDS = 5;

  private final Map<Integer, String> lateCopies = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> failures = new ConcurrentHashMap<>();
  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger copies = new AtomicInteger();
  private final Desk desk;
  private long copiesUntilNanos;

  private RepeatedFailure(Desk desk) {
    this.desk = desk;
  }

  public static void main(String[] arguments) throws Exception {
    Desk.run(arguments[0], desk -> new RepeatedFailure(desk).run());
  }

  /** Rejects a request: the slots of this worker are taken by other callers. */
  private boolean reject(Socket socket, Worker.Run run) throws IOException {
    String full = head("503 Full", run, 0);
    Worker.write(socket, full.replaceFirst("\r\n", "\r\nX-Not-Executed: 1\r\n"));
    return true;
  }

  private boolean answer(Socket socket, Worker.Run run) throws IOException, InterruptedException {
    answers.incrementAndGet();
    if (run.id().startsWith("live")) {
      Worker.write(socket, head("200 OK", run, 2) + "ok");
      return true;
    }
    int number = runs.computeIfAbsent(run.id(), id -> new AtomicInteger()).incrementAndGet();
    desk.note("worker-1 runs " + run.id() + ", run " + number + ", connection " + run.connection());
    String copy = lateCopies.remove(run.connection());
    if (copy != null) {
      desk.note("worker-1 writes its earlier answer once more: " + copy.replace("\r\n", " | "));
      Worker.write(socket, copy);
    }
    if (number % 2 == 0) {
      Worker.stream(socket, run, 20, 20, " words");
      desk.note("worker has written the whole output of " + run.id());
      return true;
    }
    failures.computeIfAbsent(run.id(), id -> new AtomicInteger()).incrementAndGet();
    String failure = head("500 Error", run, 0);
    boolean mayCopy =
        answers.get() >= ANSWERS_PER_COPY * (copies.get() + 1)
            && System.nanoTime() - copiesUntilNanos < 0;
    if (Desk.trouble() && number == 1 && mayCopy) {
      copies.incrementAndGet();
      lateCopies.put(run.connection(), failure);
    }
    desk.note("worker answers " + run.id() + " with 500");
    Worker.write(socket, failure);
    return true;
  }

  private static String head(String status, Worker.Run run, int length) {
    return "HTTP/1.1 "
        + status
        + "\r\nX-Response-Signature: signed\r\nX-Attempt-Id: "
        + run.id()
        + "\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  private int run() throws Exception {
    desk.add(new Worker("worker-1", "engine", 8, this::answer));
    desk.add(new Worker("worker-2", "engine", 8, this::reject));
    desk.configure(ATTEMPTS, 2_900_000);
    desk.start(2);
    copiesUntilNanos = System.nanoTime() + COPY_SECONDS * 1_000_000_000L;
    int broken = 0;
    for (int number = 0; number < JOBS; number++) {
      int instance = number % 2;
      sendLiveRequests(number, instance);
      String id = "7c41e09b52d6a3f" + number;
      if (desk.submit(instance, id, Desk.job(id, 1, 1_500, 611)) != 202) {
        return 2;
      }
      JsonNode results = desk.results(instance, id, 0);
      for (int read = 0; read < 30 && results.path("results").isEmpty(); read++) {
        Thread.sleep(500);
        results = desk.results(instance, id, 0);
      }
      JsonNode result = results.path("results").path(0);
      if (result.isMissingNode()) {
        return 2;
      }
      String item = id + "i0";
      int failed = failures.get(item).get();
      desk.note("client reads " + result);
      if (result.path("state").asText().equals("dead_letter") && failed < ATTEMPTS) {
        desk.note("BROKEN: " + item + " is dead_letter after " + failed + " answers of 500");
        broken++;
      }
    }
    desk.note("worker-1: " + answers + " answers, " + copies + " of them written once more");
    desk.note("items that are dead_letter too early: " + broken + " of " + JOBS);
    return broken > 0 ? 1 : 0;
  }

  private void sendLiveRequests(int job, int instance) {
    int target = ANSWERS_PER_COPY * (job + 1);
    for (int number = 0; answers.get() < target && number < 2 * ANSWERS_PER_COPY; number++) {
      desk.call(
          instance,
          "POST",
          Desk.STATUS + "2f",
          Map.of("X-Attempt-Id", "live" + job + "-" + number, "X-Deadline-Ms", "2500"),
          new byte[0]);
    }
  }
}
