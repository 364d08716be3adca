package org.sedgeroad.review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * Clients read plain pages with GET requests on an idempotent route. One of two workers loses one
 * answer in twenty for 4 s, by a reset. Each page names its request, and has 800 bytes.
 */
final class MixedBodies implements WorkerServer.Behaviour {
  private static final int REQUESTS_A_SECOND = 48;
  private static final int SECONDS = 12;
  private static final long TROUBLE_AT_NANOS = 4_000_000_000L;
  private static final long TROUBLE_FOR_NANOS = 4_000_000_000L;

  /** One answer in this number is lost. */
  private static final int LOST_ONE_IN = 20;

  private static final int PAGE_BYTES = 800;

  private final boolean trouble;
  private final AtomicInteger inTrouble = new AtomicInteger();
  private volatile long startNanos = Long.MAX_VALUE;

  private MixedBodies(boolean trouble) {
    this.trouble = trouble;
  }

  private static String page(String id) {
    return (id + " ").repeat(PAGE_BYTES).substring(0, PAGE_BYTES);
  }

  @Override
  public List<String> events(WorkerServer.Request request) {
    return List.of(page(request.id()));
  }

  @Override
  public long stepMillis(WorkerServer.Request request) {
    return 20;
  }

  @Override
  public boolean isStream(WorkerServer.Request request) {
    return false;
  }

  @Override
  public boolean losesAnswer(WorkerServer.Request request) {
    long since = System.nanoTime() - startNanos;
    return trouble
        && startNanos != Long.MAX_VALUE
        && since >= TROUBLE_AT_NANOS
        && since < TROUBLE_AT_NANOS + TROUBLE_FOR_NANOS
        && inTrouble.incrementAndGet() % LOST_ONE_IN == 0;
  }

  public static void main(String[] arguments) {
    CaseRunner.run(arguments, MixedBodies::run);
  }

  private static int run(Deployment deployment, CaseRecord record, boolean trouble)
      throws Exception {
    ObjectNode configuration = Deployment.configuration("pages", 6);
    Deployment.addRoute(configuration, "/page/", "idempotent", "pages", 2);
    deployment.store.put("config", "main", configuration);
    MixedBodies failing = new MixedBodies(trouble);
    deployment.addWorker("w-1", "pages", 6, failing);
    deployment.addWorker("w-2", "pages", 6, new MixedBodies(false));
    if (!deployment.startEntries(3)) {
      return CaseRunner.NOT_RUN;
    }
    failing.startNanos = System.nanoTime();
    List<String> wrong = new ArrayList<>();
    Map<Integer, Integer> answers = sendAll(deployment, record, wrong);
    record.report("answers by status (0: none): " + answers);
    record.report("answers 200 whose body is not the worker's: " + wrong);
    if (answers.getOrDefault(200, 0) < REQUESTS_A_SECOND * SECONDS / 2) {
      record.report("not run: under half of the requests were served");
      return CaseRunner.NOT_RUN;
    }
    record.report(wrong.isEmpty() ? "MIXED holds" : "MIXED is broken");
    return wrong.isEmpty() ? CaseRunner.HELD : CaseRunner.BROKEN;
  }

  private static Map<Integer, Integer> sendAll(
      Deployment deployment, CaseRecord record, List<String> wrong) throws InterruptedException {
    ExecutorService clients = Executors.newCachedThreadPool();
    List<Integer> statuses = new ArrayList<>();
    long start = System.nanoTime();
    for (int index = 0; index < REQUESTS_A_SECOND * SECONDS; index++) {
      long waitNanos = start + index * 1_000_000_000L / REQUESTS_A_SECOND - System.nanoTime();
      TimeUnit.NANOSECONDS.sleep(Math.max(0, waitNanos));
      int number = index;
      clients.execute(
          () -> {
            int port = deployment.entries.get(number % deployment.entries.size()).clientPort();
            String id = String.format("%016x", 0x5a41e09b52d60000L + number);
            List<String> headers =
                List.of("Host: " + Deployment.HOST, "X-Attempt-Id: " + id, "X-Deadline-Ms: 5000");
            record.add("client sends GET /page/" + number + " " + id);
            Client.Answer answer =
                Client.call(port, "GET", "/page/" + number, headers, new byte[0], 5_500);
            boolean foreign =
                answer.status() == 200 && answer.complete() && !answer.text().equals(page(id));
            record.add(
                "client gets " + answer.status() + ", " + answer.body().length + " bytes, " + id
                    + (foreign ? ": not the worker's body" : ""));
            synchronized (statuses) {
              statuses.add(answer.status());
              if (foreign) {
                wrong.add(id + " (" + answer.body().length + " bytes)");
              }
            }
          });
    }
    clients.shutdown();
    clients.awaitTermination(10, TimeUnit.SECONDS);
    synchronized (statuses) {
      return statuses.stream()
          .collect(Collectors.toMap(status -> status, status -> 1, Integer::sum));
    }
  }
}
