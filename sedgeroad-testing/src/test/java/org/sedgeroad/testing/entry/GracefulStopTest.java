package org.sedgeroad.testing.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EntryProcess;

/** Guards against requests that a planned stop cuts off, also on kept-alive connections. */
class GracefulStopTest {
  private static final int CALLERS = 16;

  private final Queue<String> cut = new ConcurrentLinkedQueue<>();
  private final Set<URI> ready = ConcurrentHashMap.newKeySet();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger closeHeaders = new AtomicInteger();
  private final CountDownLatch end = new CountDownLatch(1);

  private Deployment deployment;

  /**
   * Sends streaming requests on kept-alive connections to the instances that the load balancer
   * considers ready.
   */
  private void sendRequests() {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    while (end.getCount() > 0) {
      List<URI> targets = new ArrayList<>(ready);
      if (!targets.isEmpty()) {
        send(client, targets.get(ThreadLocalRandom.current().nextInt(targets.size())));
      }
    }
  }

  private void send(HttpClient client, URI target) {
    int tokens = ThreadLocalRandom.current().nextInt(8) == 0 ? 150 : 5;
    HttpRequest request =
        HttpRequest.newBuilder(target.resolve("/v1/completions"))
            .header("Authorization", "Bearer " + deployment.plan().key())
            .POST(
                HttpRequest.BodyPublishers.ofString(
                    "{\"model\":\""
                        + deployment.plan().model()
                        + "\",\"prompt\":\"ribbon\",\"stream\":true,\"max_tokens\":"
                        + tokens
                        + "}"))
            .build();
    try {
      HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
      if (answer.statusCode() != 200 || !answer.body().endsWith("data: [DONE]\n\n")) {
        cut.add(answer.statusCode() + " " + answer.body());
      }
      served.incrementAndGet();
      if (answer.headers().firstValue("connection").orElse("").equalsIgnoreCase("close")) {
        closeHeaders.incrementAndGet();
      }
    } catch (Exception failure) {
      cut.add(target + " " + failure);
    }
  }

  /** Simulates a load balancer that removes an instance 300 ms after it stops being ready. */
  private void updateReadyInstances() {
    try {
      while (!end.await(50, TimeUnit.MILLISECONDS)) {
        for (EntryProcess entry : deployment.entries()) {
          if (deployment.read(entry.callerAddress().resolve("/readyz")).startsWith("ready")) {
            ready.add(entry.callerAddress());
          } else if (ready.contains(entry.callerAddress())) {
            Thread.sleep(300);
            ready.remove(entry.callerAddress());
          }
        }
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Nested
  class Close {
    @Test
    void cutsNoRequestOffDuringARollingRestart() throws Exception {
      DeploymentPlan plan =
          DeploymentPlan.demo()
              .withDomains(new DomainPlan("neuquen-a", "patagonia-norte", 3, 4, 0))
              .withSetting("stop.notice-millis", "1000");
      List<Thread> threads = new ArrayList<>();
      try (Deployment started = Deployment.start(plan)) {
        deployment = started;
        started.entries().forEach(entry -> ready.add(entry.callerAddress()));
        threads.add(new Thread(GracefulStopTest.this::updateReadyInstances));
        for (int i = 0; i < CALLERS; i++) {
          threads.add(new Thread(GracefulStopTest.this::sendRequests));
        }
        threads.forEach(Thread::start);
        for (EntryProcess entry : started.entries()) {
          Thread.sleep(1_000);
          final long stopped = System.nanoTime();
          entry.process().requestStop();
          assertTrue(entry.process().awaitEnd());
          System.out.printf(
              "%s stopped in %d ms%n", entry.name(), (System.nanoTime() - stopped) / 1_000_000);
          entry.start();
          started.awaitReady(entry);
        }
        end.countDown();
        for (Thread thread : threads) {
          thread.join(20_000);
        }
        System.out.printf(
            "rolling restart of 3: %d served, %d with Connection: close, %d cut%n",
            served.get(), closeHeaders.get(), cut.size());
        assertEquals(List.of(), List.copyOf(cut));
        assertTrue(closeHeaders.get() > 0 && served.get() > 100);
      } finally {
        end.countDown();
      }
    }
  }
}
