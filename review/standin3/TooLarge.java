package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** One item of a batch job is larger than the memory of each worker, which rejects it as if full. */
final class TooLarge {
  /** Memory of a worker in tokens, as on the sheet of lenga-serv. */
  private static final int WORKER_TOKENS = 101_945;

  private static final int ITEMS = 20;
  private static final int TOKENS = 611;
  private static final int RETENTION_SECONDS = 60;
  private static final int FINISH_SECONDS = 18;

  private TooLarge() {}

  public static void main(String[] arguments) throws Exception {
    Desk.run(arguments[0], TooLarge::run);
  }

  private static int run(Desk desk) throws Exception {
    AtomicInteger rejections = new AtomicInteger();
    for (int number = 1; number <= 4; number++) {
      desk.add(
          new Worker(
              "worker-" + number,
              "engine",
              8,
              (socket, run) -> {
                String[] counts = Client.header(run.head(), "X-Token-Count").split(",");
                if (Integer.parseInt(counts[0]) + Integer.parseInt(counts[1]) > WORKER_TOKENS) {
                  rejections.incrementAndGet();
                  Worker.write(
                      socket,
                      "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
                          + run.id()
                          + "\r\nContent-Length: 0\r\n\r\n");
                  return true;
                }
                Worker.stream(socket, run, 261, 15, " words");
                return true;
              }));
    }
    desk.configure(3, 2_900_000);
    desk.start(3);
    String id = "7c41e09b52d6a3f8";
    ObjectNode job = (ObjectNode) Desk.MAPPER.readTree(Desk.job(id, ITEMS, 1_500, TOKENS));
    if (Desk.trouble()) {
      ObjectNode item = (ObjectNode) job.path("items").path(4);
      item.put("tokens", 110_000);
      ((ObjectNode) item.path("headers"))
          .put("X-Token-Count", "109700,300")
          .put("X-Prompt-Prefix", "9c2e41:109700");
      desk.note("an item of 110,000 tokens: " + item.path("id").asText());
    }
    if (desk.submit(0, id, Desk.MAPPER.writeValueAsBytes(job)) != 202) {
      return 2;
    }
    Map<String, String> listed = new LinkedHashMap<>();
    long end = System.nanoTime() + (RETENTION_SECONDS + FINISH_SECONDS + 4) * 1_000_000_000L;
    int at = 0;
    for (int round = 0; listed.size() < ITEMS && System.nanoTime() - end < 0; round++) {
      Thread.sleep(500);
      JsonNode page = desk.results(round % 3, id, at);
      at = page.path("next").asInt(at);
      page.path("results")
          .forEach(result -> listed.put(result.path("id").asText(), result.path("state").asText()));
      if (round % 10 == 0) {
        desk.note("listed " + listed.size() + " of " + ITEMS + ", rejections " + rejections);
      }
    }
    desk.note("listed at the end: " + listed + ", rejections " + rejections);
    return desk.judgeUnlisted(ITEMS - listed.size());
  }
}
