package org.sedgeroad.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.batch.ReadResult;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.http.RawServer;
import org.sedgeroad.store.StoredObject;

/** Guards against answers of other instances that are not valid HTTP and are taken for complete. */
class PeerAnswerTest {
  private static final long MOST_SECONDS = 5;

  private final PooledHttpClient httpClient = PooledHttpClient.create(1);
  private final InstanceDirectory instances = new InstanceDirectory("own", EventLog.of("own"));
  private RawServer server;

  @BeforeEach
  void listen() throws IOException {
    server = new RawServer();
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.uri().getPort());
    InstanceDirectory.Addresses addresses = new InstanceDirectory.Addresses(address, address, "a");
    instances.changed(
        new StoredObject("instances", "other", 1, InstanceDirectory.encode(addresses)));
  }

  @AfterEach
  void close() throws IOException {
    httpClient.close();
    server.close();
  }

  private void serve(String line, String body) {
    String fitting = line.replace("LENGTH", Integer.toString(body.length()));
    server.serve(
        socket -> {
          RawServer.readHead(socket);
          RawServer.write(socket, "HTTP/1.1 200 OK\r\n" + fitting + "\r\n\r\n" + body);
        });
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: LENGTH\r\nContent-Length: 1",
        "Content-Length: +LENGTH",
        "Transfer-Encoding: other",
        "X: a\r\n b"
      })
  void isNoAnswer(String line) throws Exception {
    serve(line, "{\"version\":4,\"changes\":[]}");
    CompletableFuture<PeerChanges.Answer> changes = new CompletableFuture<>();
    new HttpPeerChanges(instances, httpClient, MonotonicClock.SYSTEM)
        .read("other", "jobs", 3, 100, changes::complete);
    assertInstanceOf(
        PeerChanges.Answer.Unavailable.class, changes.get(MOST_SECONDS, TimeUnit.SECONDS));
    HttpPeerJobs jobs =
        new HttpPeerJobs(instances, () -> "other", httpClient, MonotonicClock.SYSTEM);
    for (CompletableFuture<ReadResult> result :
        List.of(jobs.body("other", "j1", "0"), jobs.notifyEnded("other", "j1"))) {
      assertInstanceOf(ReadResult.Unavailable.class, result.get(MOST_SECONDS, TimeUnit.SECONDS));
    }
    assertEquals(Optional.empty(), jobs.head("j1").get(MOST_SECONDS, TimeUnit.SECONDS));
  }
}
