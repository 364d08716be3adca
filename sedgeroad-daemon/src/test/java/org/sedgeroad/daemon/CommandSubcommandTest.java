package org.sedgeroad.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against exit statuses that report a refusal or a lost response as success. */
class CommandSubcommandTest {
  private static final String JOB_RESULT =
      "{\"statements\":1,\"results\":[{\"outcome\":\"done\",\"columns\":[\"job\",\"items\",\"open\""
          + ",\"failed\"],\"rows\":[[\"j\",\"4\",\"%s\",\"0\"]]%s}]}";

  @TempDir Path folder;
  private final Deque<String> answers = new ArrayDeque<>();
  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final PrintStream out = System.out;
  private final PrintStream err = System.err;
  private Undertow server;
  private String address;

  @BeforeEach
  void start() {
    server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(
                exchange -> {
                  String answer = answers.poll();
                  if (answer == null) {
                    exchange.getConnection().close();
                    return;
                  }
                  exchange.setStatusCode(Integer.parseInt(answer.substring(0, 3)));
                  exchange.getResponseSender().send(answer.substring(4));
                })
            .build();
    server.start();
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    address = "http://127.0.0.1:" + bound.getPort();
    System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void stop() {
    System.setOut(out);
    System.setErr(err);
    server.stop();
  }

  private int run(String... scripted) {
    answers.addAll(List.of(scripted));
    return Main.run(new String[] {"command", "--at", address, "SHOW JOB j WAIT"});
  }

  private static String result(String content) {
    return "200 {\"statements\":2,\"results\":[{" + content + "}]}";
  }

  @Nested
  class Run {
    @Test
    void exitStatusFollowsTheOutcome() {
      assertEquals(3, run(result("\"outcome\":\"refused\",\"reason\":\"r\",\"winner\":\"w 7\"")));
      assertTrue(errors.toString(StandardCharsets.UTF_8).contains("in force: w 7"));
      assertEquals(3, run(result("\"outcome\":\"unavailable\",\"reason\":\"r\"")));
      assertEquals(4, run(result("\"outcome\":\"unknown\",\"reason\":\"r\"")));
      assertEquals(2, run("400 {\"error\":{\"line\":3,\"column\":9,\"message\":\"m\"}}"));
      assertTrue(errors.toString(StandardCharsets.UTF_8).contains("line 3, column 9: m"));
      assertEquals(3, run("401 {\"error\":{\"message\":\"wrong token\"}}"));
    }

    @Test
    void distinguishesALostResponseFromARequestThatWasNotSent() {
      assertEquals(4, run());
      server.stop();
      assertEquals(3, run());
    }

    @Test
    void pollsUntilTheJobHasEnded() {
      String again = ",\"again\":\"SHOW JOB 'j' WAIT\"";
      assertEquals(
          0,
          run("200 " + JOB_RESULT.formatted("3", again), "200 " + JOB_RESULT.formatted("0", "")));
      assertTrue(errors.toString(StandardCharsets.UTF_8).contains("1 of 4 items ended"));
      assertEquals(
          List.of("job  items  open  failed", "j    4      0     0", "(1 row)"),
          printed.toString(StandardCharsets.UTF_8).lines().toList());
    }
  }

  /** Guards against options of a type that args4j can't set. */
  @Nested
  class Burn {
    @Test
    void sumsInstancesAndWritesAPage() throws IOException {
      String report = "200 {\"instances\":[\"e\"],\"at\":\"2026-12-04T04:40:00Z\",\"lines\":[]}";
      answers.addAll(List.of(report, report));
      Path page = folder.resolve("burn.html");
      assertEquals(
          0, Main.run(new String[] {"burn", "--at", address, address, "--html", page.toString()}));
      assertTrue(Files.readString(page).contains("e, e"));
    }
  }
}
