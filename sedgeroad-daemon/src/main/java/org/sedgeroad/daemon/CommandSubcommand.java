package org.sedgeroad.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.sedgeroad.MonotonicClock;

/** Sends operators' statements to an instance and prints their results. */
final class CommandSubcommand extends RemoteSubcommand {
  private static final String PATH = "/admin/commands";
  private static final long INITIAL_PAUSE_MILLIS = 1_000;
  private static final long MAX_PAUSE_MILLIS = 10_000;

  /**
   * Number of consecutive failed polls after which polling ends. The polls span more time than the
   * restart of an instance in a rolling update takes.
   */
  private static final int MAX_FAILED_POLLS = 10;

  @Option(name = "--json", usage = "print the answer as JSON")
  private boolean json;

  @Option(name = "--wait-seconds", metaVar = "N", usage = "longest wait of statements with WAIT")
  private long waitSeconds = 86_400;

  @Argument(metaVar = "TEXT", usage = "statements; read from standard input if left out")
  private String text;

  @Override
  int run() {
    String statements = text;
    if (statements == null) {
      try {
        statements = new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
      } catch (IOException failure) {
        System.err.println("cannot read standard input: " + failure);
        return ExitStatus.FAILED;
      }
    }
    Optional<AdministrationClient> created = createClient();
    if (created.isEmpty()) {
      return ExitStatus.INVALID;
    }
    try (AdministrationClient client = created.get()) {
      return report(client, client.post(PATH, statements));
    }
  }

  private int report(AdministrationClient client, AdministrationClient.Answer answer) {
    AdministrationClient.Answer last = pollUntilEnded(client, answer);
    if (last instanceof AdministrationClient.NotSent notSent) {
      System.err.println("cannot reach " + address() + ": " + notSent.reason());
      System.err.println("nothing was carried out; check --at or try another instance");
      return ExitStatus.REFUSED;
    }
    if (last instanceof AdministrationClient.Lost lost) {
      System.err.println("no whole answer from " + address() + ": " + lost.reason());
      System.err.println("the statements may have taken effect; it is safe to send them again");
      return ExitStatus.UNKNOWN;
    }
    AdministrationClient.Received received = (AdministrationClient.Received) last;
    if (json) {
      System.out.println(received.body());
    }
    if (received.status() == 200) {
      return new ResultPrinter(!json).print(received.body());
    }
    return printError(received);
  }

  private static int printError(AdministrationClient.Received received) {
    JsonNode error = received.body().path("error");
    if (error.has("line")) {
      System.err.println(
          "line "
              + error.path("line").asInt()
              + ", column "
              + error.path("column").asInt()
              + ": "
              + error.path("message").asText());
      System.err.println("nothing was carried out; docs/COMMANDS.md lists the statements");
      return ExitStatus.INVALID;
    }
    System.err.println("refused: " + error.path("message").asText("status " + received.status()));
    if (received.status() == 401) {
      System.err.println("give the token of [operators] token-file by --token-file");
    }
    return ExitStatus.REFUSED;
  }

  /**
   * Sends the polling statement of the last result until a result contains none, or until the time
   * of {@code --wait-seconds} has passed. Prints progress to standard error.
   *
   * @return the last answer with status 200, or the failure after which polling ended
   */
  private AdministrationClient.Answer pollUntilEnded(
      AdministrationClient client, AdministrationClient.Answer first) {
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(waitSeconds * 1_000);
    AdministrationClient.Answer last = first;
    Optional<JsonNode> unfinished = unfinishedResult(first);
    long pause = INITIAL_PAUSE_MILLIS;
    int failures = 0;
    while (unfinished.isPresent() && !MonotonicClock.SYSTEM.hasPassed(deadline)) {
      if (failures == 0) {
        ResultPrinter.printProgress(unfinished.get());
      }
      sleep(pause);
      pause = Math.min(MAX_PAUSE_MILLIS, pause * 2);
      AdministrationClient.Answer answer =
          client.post(PATH, unfinished.get().path("again").asText());
      boolean answered =
          answer instanceof AdministrationClient.Received received && received.status() == 200;
      failures = answered ? 0 : failures + 1;
      if (answered || failures == MAX_FAILED_POLLS) {
        last = answer;
        unfinished = unfinishedResult(answer);
      } else {
        System.err.println("no answer, asking again");
      }
    }
    return last;
  }

  private static Optional<JsonNode> unfinishedResult(AdministrationClient.Answer answer) {
    if (!(answer instanceof AdministrationClient.Received received)) {
      return Optional.empty();
    }
    JsonNode results = received.body().path("results");
    return Optional.of(results.path(results.size() - 1)).filter(last -> last.has("again"));
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
