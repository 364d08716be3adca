package review3;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker fails each odd run of an item with 500. It writes the first of these answers once more,
 * where the answer to the next request on the connection is expected.
 */
final class RepeatedFailure {
  /** Attempts of the batch route, as on the small sites. */
  private static final int ATTEMPTS = 3;

  private static final int JOBS = 5;

  private final Map<Integer, String> lateCopies = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> failures = new ConcurrentHashMap<>();
  private final Desk desk;

  private RepeatedFailure(Desk desk) {
    this.desk = desk;
  }

  public static void main(String[] arguments) throws Exception {
    Desk.run(arguments[0], desk -> new RepeatedFailure(desk).run());
  }

  private boolean answer(java.net.Socket socket, Worker.Run run) throws Exception {
    int number = runs.computeIfAbsent(run.id(), id -> new AtomicInteger()).incrementAndGet();
    desk.note("worker runs " + run.id() + ", run " + number + ", connection " + run.connection());
    String copy = lateCopies.remove(run.connection());
    if (copy != null) {
      desk.note("worker writes its earlier answer once more: " + copy.replace("\r\n", " | "));
      Worker.write(socket, copy);
    }
    if (number % 2 == 0) {
      Worker.stream(socket, run, 20, 20, " words");
      desk.note("worker has written the whole output of " + run.id());
      return true;
    }
    failures.computeIfAbsent(run.id(), id -> new AtomicInteger()).incrementAndGet();
    String failure =
        "HTTP/1.1 500 Error\r\nX-Response-Signature: signed\r\nX-Attempt-Id: "
            + run.id()
            + "\r\nContent-Length: 0\r\n\r\n";
    if (Desk.trouble() && number == 1) {
      lateCopies.put(run.connection(), failure);
    }
    desk.note("worker answers " + run.id() + " with 500");
    Worker.write(socket, failure);
    return true;
  }

  private int run() throws Exception {
    desk.add(
        new Worker(
            "worker-1",
            "engine",
            8,
            (socket, run) -> {
              try {
                return answer(socket, run);
              } catch (java.io.IOException | InterruptedException closed) {
                throw closed;
              } catch (Exception impossible) {
                throw new IllegalStateException(impossible);
              }
            }));
    desk.configure(ATTEMPTS, 2_900_000);
    desk.start(2);
    int broken = 0;
    for (int number = 0; number < JOBS; number++) {
      String id = "7c41e09b52d6a3f" + number;
      int instance = number % 2;
      if (desk.submit(instance, id, Desk.job(id, 1, 1_500, 611)) != 202) {
        return 2;
      }
      JsonNode results = desk.results(instance, id, 0);
      for (int read = 0; read < 30 && results.path("results").isEmpty(); read++) {
        Thread.sleep(500);
        results = desk.results(instance, id, 0);
      }
      JsonNode result = results.path("results").path(0);
      String item = id + "i0";
      int failed = failures.get(item).get();
      desk.note("client reads " + result);
      if (result.isMissingNode()) {
        return 2;
      }
      if (result.path("state").asText().equals("dead_letter") && failed < ATTEMPTS) {
        desk.note("BROKEN: " + item + " is dead_letter after " + failed + " answers of 500");
        broken++;
      }
    }
    desk.note("items that are dead_letter too early: " + broken + " of " + JOBS);
    return broken > 0 ? 1 : 0;
  }
}
