package org.sedgeroad.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.live.LivePressureExchange;
import org.sedgeroad.peer.EndpointNews;
import org.sedgeroad.peer.PeerTraffic;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.RequestShape;
import org.sedgeroad.settings.EntrySettings;
import org.sedgeroad.settings.EntrySettingsReader;
import org.sedgeroad.settings.EntrySettingsResult;

/** Guards against peers that keep using an endpoint after one instance has seen it draining. */
class EndpointStateExchangeTest {
  private static final URI ADDRESS = URI.create("http://127.0.0.1:9");

  private final List<PeerServices> peerServices = new ArrayList<>();
  private final List<EndpointTable> tables = new ArrayList<>();
  private final List<EndpointStateExchange> exchanges = new ArrayList<>();

  @BeforeEach
  void start() {
    addInstance("");
    String seed = "127.0.0.1:" + peerServices.get(0).network().address().getPort();
    addInstance(seed);
    addInstance(seed);
    await()
        .atMost(Duration.ofSeconds(5))
        .until(
            () ->
                peerServices.stream()
                    .allMatch(services -> services.membership().liveInstances().size() == 3));
  }

  @AfterEach
  void stop() {
    peerServices.forEach(PeerServices::close);
  }

  private void addInstance(String seed) {
    String text =
        "[instance]\nname=e%d\ndomain=a\nregion=r\n".formatted(peerServices.size())
            + "[listen]\ncallers=127.0.0.1:0\noperators=127.0.0.1:0\npeers=127.0.0.1:0\n"
            + "[peers]\nseeds="
            + seed
            + "\n[store]\naddress=http://127.0.0.1:1\n";
    EntrySettings settings =
        ((EntrySettingsResult.Valid) EntrySettingsReader.parse(text)).settings();
    EventLog log = EventLog.of(settings.instance());
    PeerServices services = PeerServices.of(settings, MonotonicClock.SYSTEM, log);
    EndpointTable table = EndpointTable.of("r", MonotonicClock.SYSTEM);
    table.replace(List.of(new Endpoint("w", "s", ADDRESS, "a", "r", EndpointState.LIVE)));
    LivePressureExchange pressure =
        new LivePressureExchange(
            settings.instance(),
            "a",
            table,
            services.membership(),
            domain -> List.of(),
            services.network()::send,
            () -> {},
            peerServices.size());
    EndpointStateExchange exchange = services.createEndpointStateExchange(table, pressure);
    exchange.start();
    services.start();
    peerServices.add(services);
    tables.add(table);
    exchanges.add(exchange);
  }

  @Nested
  class Draining {
    @Test
    void takesTheEndpointOutOfUseAtAllPeersWithOneMessageEach() {
      tables.get(1).markDraining("w", ADDRESS);
      await()
          .atMost(Duration.ofSeconds(1))
          .until(() -> tables.stream().allMatch(table -> table.usableEndpoints().isEmpty()));
      assertEquals(
          2,
          peerServices.stream()
              .flatMap(services -> services.network().traffic().stream())
              .filter(traffic -> traffic.messageClass().equals("EndpointNews"))
              .mapToLong(PeerTraffic::sentFrames)
              .sum());
    }

    @Test
    void doesNotTouchAReplacementAtAnotherAddress() throws Exception {
      URI other = URI.create("http://127.0.0.1:10");
      tables.get(0).replace(List.of(new Endpoint("w", "s", other, "a", "r", EndpointState.LIVE)));
      tables.get(1).markDraining("w", ADDRESS);
      await().until(() -> tables.get(2).usableEndpoints().isEmpty());
      assertEquals(1, tables.get(0).usableEndpoints().size());
    }
  }

  @Nested
  class Failed {
    @Test
    void leavesTheEndpointInUseAtPeers() {
      Queue<EndpointNews> failureNews = new ConcurrentLinkedQueue<>();
      exchanges.get(2).setFailureListener(failureNews::add);
      tables.get(1).markFailed("w", ADDRESS);
      await().until(() -> failureNews.size() == 1);
      assertEquals(1, tables.get(2).usableEndpoints().size());
    }
  }

  @Nested
  class LiveCounts {
    @Test
    void reachTheOwnerInHeartbeatsAlone() {
      RequestShape shape =
          new RequestShape("s", "m", ServiceClass.LIVE, 1, 1, 0, "f", true, Set.of());
      tables.forEach(table -> table.begin(table.find("w").orElseThrow(), shape));
      await()
          .atMost(Duration.ofSeconds(5))
          .until(
              () ->
                  tables.stream()
                      .flatMap(table -> table.usableEndpoints().stream())
                      .mapToInt(EndpointView::peerLive)
                      .anyMatch(live -> live == 2));
      assertEquals(Map.of("w", 1), tables.get(0).ownLiveCounts());
    }
  }
}
