package org.sedgeroad.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.store.HttpObjectStore;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.testing.platform.OutageMode;
import org.sedgeroad.testing.platform.PlatformStandIn;

/**
 * Guards against instances that miss a configuration change, and against a watch of the store by
 * every instance.
 */
class ConfigurationRelayTest {
  private final PlatformStandIn platform = PlatformStandIn.start();
  private final PooledHttpClient httpClient = PooledHttpClient.create(2);
  private final ObjectStore store = HttpObjectStore.of(platform.address(), httpClient, 1_000);
  private final ObjectStore unreachable =
      HttpObjectStore.of(URI.create("http://127.0.0.1:1"), httpClient, 1_000);
  private final List<RelayNode> nodes = new ArrayList<>();

  @AfterEach
  void stop() {
    nodes.forEach(RelayNode::close);
    httpClient.close();
    platform.close();
  }

  private void addNodes(String domain, int count, ObjectStore nodeStore) throws IOException {
    for (int i = 0; i < count; i++) {
      List<String> seeds = nodes.stream().limit(2).map(RelayNode::address).toList();
      nodes.add(new RelayNode(domain, i, nodeStore, seeds, List.of("a", "b")));
    }
  }

  private long write(String name, int value) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode().put("value", value);
    spec.put("note", "x".repeat(360));
    StoreResult<StoredObject> found = store.get(Kinds.LIMITS, name);
    StoreResult<StoredObject> result =
        found instanceof StoreResult.Done<StoredObject> done
            ? store.update(Kinds.LIMITS, name, done.value().version(), spec)
            : store.create(Kinds.LIMITS, name, spec);
    return ((StoreResult.Done<StoredObject>) result).value().version();
  }

  private void awaitComplete() {
    await()
        .atMost(Duration.ofSeconds(15))
        .until(() -> nodes.stream().allMatch(node -> node.relay.isComplete()));
  }

  private void awaitApplied(long version, long millis) {
    await()
        .pollInterval(Duration.ofMillis(5))
        .atMost(Duration.ofMillis(millis))
        .until(() -> nodes.stream().allMatch(node -> node.appliedAt.containsKey(version)));
  }

  private long sentDeltaBytes() {
    return nodes.stream().mapToLong(node -> node.sentBytes("ConfigurationDelta")).sum();
  }

  private long countWatchingNodes() {
    return nodes.stream().filter(node -> node.relay.isWatching()).count();
  }

  @Nested
  class Propagation {
    @Test
    void reachesNineInstancesOverTwoWatches() throws Exception {
      for (int i = 0; i < 300; i++) {
        write("m" + i, i);
      }
      addNodes("a", 9, store);
      awaitComplete();
      await().atMost(Duration.ofSeconds(10)).until(() -> countWatchingNodes() == 2);
      int kinds = Kinds.REPLICATED.size();
      await().until(() -> platform.counters().path("watches_open").asInt() == 2 * kinds);
      nodes.forEach(node -> assertEquals(300, node.replica.list(Kinds.LIMITS).size()));
      List<Long> nanos = new ArrayList<>();
      final long deltaBytes = sentDeltaBytes();
      long reads = platform.counters().path("reads").asLong();
      for (int i = 0; i < 60; i++) {
        long sent = System.nanoTime();
        long version = write("m" + i, 1_000 + i);
        awaitApplied(version, 2_000);
        nodes.forEach(node -> nanos.add(node.appliedAt.get(version) - sent));
      }
      nanos.sort(null);
      System.out.printf(
          "store to replica, 9 instances: median %.1f ms, p99 %.1f ms, maximum %.1f ms;"
              + " store %s; delta bytes per instance and change %d%n",
          nanos.get(nanos.size() / 2) / 1e6,
          nanos.get(nanos.size() * 99 / 100) / 1e6,
          nanos.get(nanos.size() - 1) / 1e6,
          platform.counters(),
          (sentDeltaBytes() - deltaBytes) / 60 / 9);
      // Only this test reads each object before it writes it; the instances read nothing.
      assertEquals(60, platform.counters().path("reads").asLong() - reads);
    }

    @Test
    void deliversDeletionsMadeWhileNoInstanceWatched() throws Exception {
      write("kept", 1);
      long goneVersion = write("gone", 1);
      addNodes("a", 2, store);
      awaitComplete();
      platform.setOutage(OutageMode.REFUSE, false);
      nodes.forEach(node -> node.relay.close());
      platform.setOutage(OutageMode.NONE, false);
      store.delete(Kinds.LIMITS, "gone", goneVersion);
      addNodes("a", 4, store);
      nodes.subList(0, 2).forEach(RelayNode::close);
      nodes.subList(0, 2).clear();
      awaitComplete();
      await()
          .atMost(Duration.ofSeconds(10))
          .until(() -> nodes.get(3).replica.find(Kinds.LIMITS, "gone").isEmpty());
    }
  }

  @Nested
  class Takeover {
    @Test
    void followsTheStoreAgainAfterBothWatchersFailed() throws Exception {
      addNodes("a", 5, store);
      awaitComplete();
      await().atMost(Duration.ofSeconds(10)).until(() -> countWatchingNodes() == 2);
      List<RelayNode> stopped = nodes.stream().filter(node -> node.relay.isWatching()).toList();
      stopped.forEach(RelayNode::close);
      nodes.removeAll(stopped);
      long version = write("late", 1);
      awaitApplied(version, 12_000);
    }
  }

  @Nested
  class Outage {
    @Test
    void makesNoInstanceReadyWithoutASnapshot() throws Exception {
      addNodes("a", 2, unreachable);
      Thread.sleep(4_000);
      nodes.forEach(node -> assertTrue(!node.relay.isComplete()));
    }

    @Test
    void letsAStartingInstanceTakeItsSnapshotFromPeers() throws Exception {
      write("m", 1);
      addNodes("a", 3, store);
      awaitComplete();
      platform.setOutage(OutageMode.REFUSE, false);
      addNodes("a", 1, unreachable);
      awaitComplete();
      assertTrue(nodes.get(3).replica.find(Kinds.LIMITS, "m").isPresent());
    }

    /**
     * Guards against a failure domain without a connection to the store that does not receive a
     * limit change from another domain within 2 s.
     */
    @Test
    void isCoveredByOtherDomains() throws Exception {
      addNodes("a", 3, store);
      awaitComplete();
      addNodes("b", 3, unreachable);
      awaitComplete();
      await().atMost(Duration.ofSeconds(10)).until(() -> countWatchingNodes() == 4);
      Thread.sleep(3_000);
      for (int i = 0; i < 10; i++) {
        long sent = System.nanoTime();
        awaitApplied(write("vote", i), 2_000);
        System.out.printf("to a domain without store: %.0f ms%n", (System.nanoTime() - sent) / 1e6);
      }
    }
  }
}
