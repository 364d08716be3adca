package org.sedgeroad.testing.live;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.engine.HttpEngineClient;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.limit.Admission;
import org.sedgeroad.live.ClaimRegistry;
import org.sedgeroad.live.CrashReportExchange;
import org.sedgeroad.live.LiveEventQueue;
import org.sedgeroad.live.LivePressureExchange;
import org.sedgeroad.live.LiveRequest;
import org.sedgeroad.live.LiveService;
import org.sedgeroad.live.LiveServiceDependencies;
import org.sedgeroad.route.CrashingRequestDetector;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.HedgePolicies;
import org.sedgeroad.route.PrefixHints;
import org.sedgeroad.route.RequestShape;
import org.sedgeroad.route.RoutingPolicies;
import org.sedgeroad.store.StoreWriter;

/** Live request service of one instance over real connections, without a store or peers. */
final class LiveEntry implements AutoCloseable {
  private static final MonotonicClock CLOCK = MonotonicClock.SYSTEM;

  private final PooledHttpClient httpClient = PooledHttpClient.create(2);
  private final EndpointTable endpoints = EndpointTable.of("r", CLOCK);
  private final LiveService service;

  LiveEntry(String routing, String hedging, int slots, List<URI> addresses) {
    List<Endpoint> list = new ArrayList<>();
    for (URI address : addresses) {
      String name = "e" + list.size();
      list.add(new Endpoint(name, "s", address, "d", "r", EndpointState.LIVE));
    }
    endpoints.replace(list);
    endpoints.setSlots("s", slots);
    EventLog log = EventLog.of("test");
    HttpEngineClient engine = HttpEngineClient.of(httpClient);
    PrefixHints hints = new PrefixHints(CLOCK);
    StoreWriter writer = StoreWriter.of(null, "test");
    List<String> members = List.of("test");
    service =
        new LiveService(
            new LiveServiceDependencies(
                endpoints,
                new LivePressureExchange(
                    "test",
                    "d",
                    endpoints,
                    () -> members,
                    domain -> List.of(),
                    (peer, message) -> {},
                    () -> {},
                    1),
                RoutingPolicies.named(routing, endpoints.costs(), hints),
                hints,
                HedgePolicies.named(hedging),
                new CrashReportExchange(
                    "test",
                    new CrashingRequestDetector(InstantSource.system()),
                    () -> members,
                    (peer, message) -> {},
                    writer,
                    CLOCK,
                    log),
                engine,
                (member, serviceClass, tokens) -> new Admission.Admitted(),
                ClaimRegistry.of(writer),
                CLOCK,
                new Random(1),
                log));
  }

  /** Serves a streamed completion and returns the sink when the stream has ended. */
  RecordingSink serve(String prompt, int tokens, RecordingSink sink) throws Exception {
    String body =
        "{\"model\":\"model\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":true}"
            .formatted(prompt, tokens);
    RequestShape shape =
        new RequestShape(
            "s", "m", ServiceClass.LIVE, prompt.length() / 4, tokens, 0, prompt, true, Set.of());
    LiveRequest request =
        new LiveRequest(
            "r-" + UUID.randomUUID(),
            "POST",
            "/v1/completions",
            Map.of("Content-Type", "application/json"),
            body.getBytes(StandardCharsets.UTF_8),
            "",
            true,
            CLOCK.deadlineAfterMillis(20_000),
            shape);
    service.serve(request, new LiveEventQueue(), sink);
    return sink;
  }

  @Override
  public void close() {
    httpClient.close();
  }
}
