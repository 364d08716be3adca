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
 * Clients send GET requests on routes whose requests may run once at most: a stream that can't be
 * resumed, and a non-idempotent route. One of two workers loses one answer in twenty for 4 s. No
 * client repeats a request.
 */
final class LostAnswers implements WorkerServer.Behaviour {
  private static final int REQUESTS_A_SECOND = 48;
  private static final int SECONDS = 12;
  private static final long TROUBLE_AT_NANOS = 4_000_000_000L;
  private static final long TROUBLE_FOR_NANOS = 4_000_000_000L;

  /** One answer in this number is lost. */
  private static final int LOST_ONE_IN = 20;

  private final boolean trouble;
  private final AtomicInteger inTrouble = new AtomicInteger();
  private volatile long startNanos = Long.MAX_VALUE;

  private LostAnswers(boolean trouble) {
    this.trouble = trouble;
  }

  @Override
  public List<String> events(WorkerServer.Request request) {
    return List.of("one", "two", "three", "four");
  }

  @Override
  public long stepMillis(WorkerServer.Request request) {
    return 10;
  }

  @Override
  public boolean isStream(WorkerServer.Request request) {
    return request.target().startsWith("/ask/");
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
    CaseRunner.run(arguments, LostAnswers::run);
  }

  private static int run(Deployment deployment, CaseRecord record, boolean trouble)
      throws Exception {
    ObjectNode configuration = Deployment.configuration("pages", 8);
    Deployment.addRoute(configuration, "/ask/", "streaming", "pages", 1)
        .put("resumable", false)
        .put("gapTargetMs", 250);
    Deployment.addRoute(configuration, "/order/", "non_idempotent", "pages", 2);
    deployment.store.put("config", "main", configuration);
    LostAnswers failing = new LostAnswers(trouble);
    deployment.addWorker("w-1", "pages", 8, failing);
    deployment.addWorker("w-2", "pages", 8, new LostAnswers(false));
    if (!deployment.startEntries(3)) {
      return CaseRunner.NOT_RUN;
    }
    failing.startNanos = System.nanoTime();
    Map<Integer, Integer> answers = sendAll(deployment, record);
    Map<String, Long> runs =
        deployment.runs().stream()
            .collect(Collectors.groupingBy(WorkerServer.Run::id, Collectors.counting()));
    List<String> twice =
        runs.entrySet().stream()
            .filter(entry -> entry.getValue() > 1)
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    record.report("answers by status (0: none): " + answers);
    record.report(runs.size() + " requests ran; more than once: " + twice);
    if (answers.getOrDefault(200, 0) < REQUESTS_A_SECOND * SECONDS / 2) {
      record.report("not run: under half of the requests were served");
      return CaseRunner.NOT_RUN;
    }
    record.report(twice.isEmpty() ? "TWICE holds" : "TWICE is broken");
    return twice.isEmpty() ? CaseRunner.HELD : CaseRunner.BROKEN;
  }

  private static Map<Integer, Integer> sendAll(Deployment deployment, CaseRecord record)
      throws InterruptedException {
    ExecutorService clients = Executors.newCachedThreadPool();
    List<Integer> statuses = new ArrayList<>();
    long start = System.nanoTime();
    for (int index = 0; index < REQUESTS_A_SECOND * SECONDS; index++) {
      long waitNanos = start + index * 1_000_000_000L / REQUESTS_A_SECOND - System.nanoTime();
      TimeUnit.NANOSECONDS.sleep(Math.max(0, waitNanos));
      int number = index;
      clients.execute(
          () -> {
            int port =
                deployment.entries.get(number % deployment.entries.size()).clientPort();
            String id = String.format("%016x", 0x7c41e09b52d60000L + number);
            String target = (number % 2 == 0 ? "/ask/" : "/order/") + number;
            List<String> headers =
                List.of(
                    "Host: " + Deployment.HOST, "X-Attempt-Id: " + id, "X-Deadline-Ms: 5000");
            record.add("client sends GET " + target + " " + id);
            Client.Answer answer =
                Client.call(port, "GET", target, headers, new byte[0], 5_500);
            record.add(
                "client gets " + answer.status() + (answer.complete() ? " " : " cut off ") + id);
            synchronized (statuses) {
              statuses.add(answer.status());
            }
          });
    }
    clients.shutdown();
    clients.awaitTermination(10, TimeUnit.SECONDS);
    synchronized (statuses) {
      return statuses.stream().collect(Collectors.toMap(status -> status, status -> 1, Integer::sum));
    }
  }
}
