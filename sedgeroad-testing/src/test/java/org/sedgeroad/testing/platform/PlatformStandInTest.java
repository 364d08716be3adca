package org.sedgeroad.testing.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.store.HttpObjectStore;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;
import org.sedgeroad.testing.TestClient;

/**
 * Guards against a platform stand-in that violates the store protocol; other tests rely on its
 * answers.
 */
class PlatformStandInTest {
  private final PlatformStandIn platform = PlatformStandIn.start();
  private final TestClient client = new TestClient(platform.address());
  private final HttpObjectStore store =
      HttpObjectStore.of(platform.address(), client.httpClient(), 1_000);

  @AfterEach
  void close() {
    client.close();
    platform.close();
  }

  private static ObjectNode spec(int number) {
    return new ObjectMapper().createObjectNode().put("writer", "test").put("writeNumber", number);
  }

  private static <T> T requireDone(StoreResult<T> result) {
    return assertInstanceOf(StoreResult.Done.class, result) == null
        ? null
        : ((StoreResult.Done<T>) result).value();
  }

  private static final class RecordingListener implements WatchListener {
    private final List<StoredObject> objects = new CopyOnWriteArrayList<>();
    private final List<String> closed = new CopyOnWriteArrayList<>();

    @Override
    public void onChange(StoredObject object) {
      objects.add(object);
    }

    @Override
    public void onClosed(String reason) {
      closed.add(reason);
    }

    private List<Long> versions() {
      return objects.stream().map(StoredObject::version).toList();
    }
  }

  @Nested
  class Writes {
    @Test
    void areConditional() {
      StoredObject first = requireDone(store.create("jobs", "a/b c", spec(1)));
      assertInstanceOf(StoreResult.Conflict.class, store.create("jobs", "a/b c", spec(2)));
      StoredObject second = requireDone(store.update("jobs", "a/b c", first.version(), spec(3)));
      assertInstanceOf(
          StoreResult.Conflict.class, store.update("jobs", "a/b c", first.version(), spec(4)));
      assertEquals(second, requireDone(store.get("jobs", "a/b c")));
      assertInstanceOf(StoreResult.Conflict.class, store.delete("jobs", "a/b c", first.version()));
      requireDone(store.delete("jobs", "a/b c", second.version()));
      assertInstanceOf(StoreResult.Absent.class, store.get("jobs", "a/b c"));
      assertInstanceOf(StoreResult.Absent.class, store.update("jobs", "a/b c", 1, spec(5)));
      assertEquals(
          List.of(1L, 2L, 3L),
          platform.acceptedWrites(0).stream().map(AcceptedWrite::version).toList());
    }

    @Test
    void refuseLargeValues() {
      String value = "x".repeat(1 << 20);
      String body = "{\"metadata\":{\"name\":\"n\"},\"spec\":{\"v\":\"" + value + "\"}}";
      String path = "/apis/sedgeroad.org/v1/inputs";
      assertEquals(413, client.answer("POST", path, body).head().status());
      assertEquals(400, client.answer("POST", path, "{\"spec\":{}}").head().status());
    }
  }

  @Nested
  class Lists {
    @Test
    void continueOverPages() {
      for (int number = 0; number < 7; number++) {
        requireDone(store.create("inputs", "f." + number, spec(number)));
      }
      requireDone(store.create("inputs", "g.0", spec(9)));
      String path = "/apis/sedgeroad.org/v1/inputs?prefix=f.&limit=3&continue=";
      JsonNode page = client.get(path);
      assertEquals(3, page.path("items").size());
      page = client.get(path + page.path("metadata").path("continue").asText());
      assertEquals("f.3", page.path("items").path(0).path("metadata").path("name").asText());
      page = client.get(path + page.path("metadata").path("continue").asText());
      assertEquals(1, page.path("items").size());
      assertTrue(page.path("metadata").path("continue").isMissingNode());
      ObjectList list = requireDone(store.list("inputs", "f."));
      assertEquals(7, list.objects().size());
      assertEquals(8, list.version());
    }
  }

  @Nested
  class Watches {
    @Test
    void replayOldChangesAndFollowNewOnes() throws Exception {
      requireDone(store.create("jobs", "a", spec(1)));
      requireDone(store.create("limits", "other", spec(2)));
      requireDone(store.create("jobs", "b", spec(3)));
      RecordingListener listener = new RecordingListener();
      try (AutoCloseable watch = store.watch("jobs", 1, listener)) {
        await().until(() -> listener.versions().equals(List.of(3L)));
        requireDone(store.delete("jobs", "a", 1));
        await().until(() -> listener.versions().equals(List.of(3L, 4L)));
        assertTrue(listener.objects.get(1).isDeleted());
      }
    }

    @Test
    void endWhenTheCallerCloses() throws Exception {
      URI address = platform.address();
      String request = "GET /apis/sedgeroad.org/v1/jobs?watch=true HTTP/1.1\r\nHost: a\r\n\r\n";
      try (Socket socket = new Socket(address.getHost(), address.getPort())) {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        await().until(() -> platform.counters().path("watches_open").asInt() == 1);
      }
      await().until(() -> platform.counters().path("watches_open").asInt() == 0);
    }

    @Test
    void refuseDiscardedVersions() throws Exception {
      requireDone(store.create("jobs", "a", spec(1)));
      requireDone(store.create("jobs", "b", spec(2)));
      client.post("/control/forget", "{\"keep\":1}");
      RecordingListener listener = new RecordingListener();
      try (AutoCloseable watch = store.watch("jobs", 0, listener)) {
        await().until(() -> listener.closed.equals(List.of("watch ended with status 410")));
      }
    }
  }

  @Nested
  class Faults {
    @Test
    void losesTheAnswerOfAWriteThatTookEffect() {
      client.post("/control/lose-answers", "{\"next\":1,\"kind\":\"jobs\"}");
      requireDone(store.create("limits", "a", spec(1)));
      // A client without pooled connections sends the write only once.
      try (TestClient fresh = new TestClient(platform.address())) {
        HttpObjectStore freshStore =
            HttpObjectStore.of(platform.address(), fresh.httpClient(), 1_000);
        assertInstanceOf(StoreResult.Unknown.class, freshStore.create("jobs", "a", spec(2)));
      }
      assertEquals(2, requireDone(store.get("jobs", "a")).version());
      assertEquals(2, client.get("/control/history").path("writes").size());
    }

    @Test
    void throttles() {
      client.post("/control/rate", "{\"writes_per_second\":1}");
      requireDone(store.create("jobs", "a", spec(1)));
      assertInstanceOf(StoreResult.Throttled.class, store.create("jobs", "b", spec(1)));
      requireDone(store.get("jobs", "a"));
    }

    @Test
    void failsDuringOutages() {
      RecordingListener listener = new RecordingListener();
      store.watch("jobs", 0, listener);
      await().until(() -> platform.counters().path("watches_open").asInt() == 1);
      client.post("/control/outage", "{\"mode\":\"unavailable\"}");
      assertInstanceOf(StoreResult.Unavailable.class, store.get("jobs", "a"));
      await().until(() -> listener.closed.size() == 1);
      client.post("/control/outage", "{\"mode\":\"hang\"}");
      assertInstanceOf(StoreResult.Unknown.class, store.create("jobs", "a", spec(1)));
      client.post("/control/outage", "{\"mode\":\"none\"}");
      assertInstanceOf(StoreResult.Absent.class, store.get("jobs", "a"));
      platform.setOutageFor(OutageMode.REFUSE, false, 200);
      assertInstanceOf(StoreResult.Unavailable.class, store.create("jobs", "a", spec(1)));
      await().until(() -> store.create("jobs", "a", spec(1)) instanceof StoreResult.Done<?>);
    }
  }

  @Nested
  class Instances {
    @Test
    void areShownWithALag() {
      String entry =
          "{\"name\":\"w1\",\"service\":\"lm\",\"address\":\"http://127.0.0.1:1\","
              + "\"domain\":\"d\",\"region\":\"r\",\"state\":\"leaving\"}";
      client.post("/control/instances", "{\"lag_millis\":300,\"set\":[" + entry + "]}");
      assertEquals(0, client.get("/instances").path("instances").size());
      await().until(() -> client.get("/instances").path("instances").size() == 1);
      JsonNode shown = client.get("/instances");
      assertEquals(1, shown.path("version").asInt());
      assertEquals("leaving", shown.path("instances").path(0).path("state").asText());
      client.post("/control/instances", "{\"lag_millis\":0,\"remove\":[\"w1\"]}");
      assertEquals(0, client.get("/instances").path("instances").size());
      assertEquals(
          400, client.answer("POST", "/control/instances", "{\"set\":[{}]}").head().status());
    }
  }

  @Test
  void refusesUnknownPaths() {
    assertEquals(
        400,
        ((org.sedgeroad.http.HttpResult.Answered) client.send("GET", "/x", "", Map.of()))
            .head()
            .status());
  }
}
