package org.sedgeroad.testing.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.http.ProcessMain;

/** Starts a deployment, sends it one live request and one batch job, and stops it. */
public final class DemoMain {
  private static final int BATCH_ITEMS = 10;
  private static final long BATCH_TIMEOUT_MILLIS = 40_000;

  @Option(name = "--keep", usage = "stay up until interrupted and print the addresses")
  private boolean keep;

  @Option(name = "--plan", usage = "demo, taller-lenga or casa-quetzal")
  private String plan = "demo";

  private DemoMain() {}

  /** Runs the demo; the exit status is 0 if the live request and the job succeed, else 1. */
  public static void main(String[] arguments) throws InterruptedException {
    DemoMain demo = new DemoMain();
    ProcessMain.parse(demo, arguments);
    System.exit(demo.run());
  }

  private int run() throws InterruptedException {
    System.out.println("starting the stand-ins and the entry instances");
    // Never counted down: with --keep, the demo runs until the process is ended.
    CountDownLatch interrupted = new CountDownLatch(1);
    try (Deployment deployment = Deployment.start(chosenPlan())) {
      Thread hook = new Thread(deployment::close, "stop-deployment");
      Runtime.getRuntime().addShutdownHook(hook);
      if (keep) {
        printAddresses(deployment);
        interrupted.await();
      }
      boolean live = serveLive(deployment);
      boolean batch = runBatch(deployment);
      System.out.println(live && batch ? "demo: done" : "demo: FAILED");
      return live && batch ? 0 : 1;
    }
  }

  private DeploymentPlan chosenPlan() {
    return switch (plan) {
      case "taller-lenga" -> DeploymentPlan.tallerLenga();
      case "casa-quetzal" -> DeploymentPlan.casaQuetzal();
      default -> DeploymentPlan.demo();
    };
  }

  private static void printAddresses(Deployment deployment) {
    for (EntryProcess entry : deployment.entries()) {
      System.out.println("entry=" + entry.callerAddress());
    }
    for (EntryProcess entry : deployment.entries()) {
      System.out.println("operator=" + entry.operatorAddress());
    }
    System.out.println("store=" + deployment.store());
    for (EndpointProcess engine : deployment.engines()) {
      System.out.println("engine=" + engine.address());
    }
    System.out.println("key=" + deployment.plan().key());
    System.out.println("operator-token=" + Deployment.OPERATOR_TOKEN);
    System.out.flush();
  }

  private static boolean serveLive(Deployment deployment) {
    ApiClient client = deployment.client(0);
    ApiAnswer answer =
        client.complete(deployment.plan().model(), "How tall is a lenga tree?", 12, true);
    long events = answer.body().lines().filter(line -> line.startsWith("data: {")).count();
    boolean complete = answer.status() == 200 && answer.body().contains("data: [DONE]");
    System.out.println(
        "live: status " + answer.status() + ", " + events + " events, whole: " + complete);
    return complete;
  }

  private static boolean runBatch(Deployment deployment) {
    List<String> prompts = new ArrayList<>();
    for (int index = 0; index < BATCH_ITEMS; index++) {
      prompts.add(index == 3 ? "FAIL-ALWAYS" : "commission brief " + index);
    }
    ApiClient client = deployment.client(0);
    JsonNode file = client.json(client.upload(deployment.plan().model(), prompts, 8));
    JsonNode job = client.json(client.submit(file.path("id").asText(), Map.of()));
    System.out.println("batch: " + job.path("id").asText() + " " + job.path("status").asText());
    // Every other entry instance can answer for the job as well.
    ApiClient other = deployment.client(deployment.entries().size() - 1);
    JsonNode ended = other.awaitBatch(job.path("id").asText(), BATCH_TIMEOUT_MILLIS);
    JsonNode counts = ended.path("request_counts");
    System.out.println("batch: " + ended.path("status").asText() + " " + counts);
    ApiAnswer output = other.get("/v1/files/" + ended.path("output_file_id").asText() + "/content");
    ApiAnswer errors = other.get("/v1/files/" + ended.path("error_file_id").asText() + "/content");
    long done = output.body().lines().count();
    System.out.println("batch: " + done + " results; not done: " + errors.body().strip());
    return ended.path("status").asText().equals("completed")
        && counts.path("completed").asInt() == BATCH_ITEMS - 1
        && counts.path("failed").asInt() == 1
        && done == BATCH_ITEMS - 1;
  }
}
