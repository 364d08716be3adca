package org.sedgeroad.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.burn.BurnRecords;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.job.JobService;
import org.sedgeroad.limit.VoteResult;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.store.StoreWriter;

/**
 * Guards against commands that are accepted without the token and answers that don't show that a
 * statement was refused.
 */
class AdministrationListenerTest {
  @TempDir Path folder;
  private final PooledHttpClient httpClient = PooledHttpClient.create(1);
  private AdministrationListener listener;
  private URI address;
  private Path tokenFile;

  @BeforeEach
  void start() throws IOException {
    tokenFile = folder.resolve("token");
    Files.writeString(tokenFile, "operator-token\n");
    int port;
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    address = URI.create("http://127.0.0.1:" + port + "/admin/commands");
    StoreWriter writer = StoreWriter.of(new MemoryStore(), "operator-side");
    CommandDependencies dependencies =
        new CommandDependencies(
            writer,
            new ConfigurationReplica(),
            JobService.of(writer),
            EndpointTable.of("here", MonotonicClock.SYSTEM),
            (member, kind, value, version) -> new VoteResult.Accepted(1),
            Map::of,
            List::of);
    listener =
        new AdministrationListener(
            new InetSocketAddress("127.0.0.1", port),
            new CommandExecutor(dependencies),
            new BurnRecords("entry-1", MonotonicClock.SYSTEM, Clock.systemUTC())::report,
            OperatorToken.of(Optional.of(tokenFile.toString())),
            EventLog.of("entry-1"));
    listener.start();
  }

  @AfterEach
  void stop() {
    listener.close();
    httpClient.close();
  }

  private String post(String token, String text) {
    HttpCall call =
        new HttpCall(
            "POST",
            address,
            Map.of("Authorization", "Bearer " + token),
            text.getBytes(StandardCharsets.UTF_8),
            true,
            MonotonicClock.SYSTEM.deadlineAfterMillis(5_000));
    HttpResult.Answered answered = (HttpResult.Answered) httpClient.send(call);
    return answered.head().status() + " " + new String(answered.body(), StandardCharsets.UTF_8);
  }

  @Nested
  class Authorization {
    @Test
    void refusesWrongTokensAndCallerKeys() {
      post("operator-token", "CREATE MEMBER m KEY 'caller-key'");
      assertTrue(post("caller-key", "SHOW MEMBERS").startsWith("401 "));
      assertTrue(post("", "SHOW MEMBERS").startsWith("401 "));
    }

    @Test
    void refusesAllRequestsIfTheTokenFileIsEmptyOrMissing() throws IOException {
      Files.writeString(tokenFile, "\n");
      assertTrue(post("", "SHOW MEMBERS").startsWith("403 "));
      Files.delete(tokenFile);
      assertTrue(post("operator-token", "SHOW MEMBERS").startsWith("403 "));
    }

    @Test
    void acceptsAReplacedTokenWithoutRestart() throws IOException {
      Files.writeString(tokenFile, "renewed");
      assertTrue(post("renewed", "SHOW MEMBERS").startsWith("200 "));
      assertTrue(post("operator-token", "SHOW MEMBERS").startsWith("401 "));
    }
  }

  @Nested
  class Commands {
    @Test
    void executesNoStatementIfOneIsInvalid() {
      String answer = post("operator-token", "CREATE MEMBER m KEY 'k';\nSHOW MEMBER");
      assertTrue(answer.startsWith("400 {\"error\":{\"line\":2,\"column\":12,"), answer);
      assertTrue(post("operator-token", "SHOW MEMBER m").contains("\"outcome\":\"refused\""));
    }

    @Test
    void stopsAtTheFirstRefusedStatement() {
      String answer =
          post(
              "operator-token",
              "CREATE MEMBER m KEY 'k'; SHOW JOB missing; CREATE MEMBER n KEY 'k'");
      assertTrue(answer.startsWith("200 {\"statements\":3,"), answer);
      assertEquals(2, answer.split("\"outcome\"").length - 1);
      assertTrue(post("operator-token", "SHOW MEMBER n").contains("\"outcome\":\"refused\""));
    }
  }
}
