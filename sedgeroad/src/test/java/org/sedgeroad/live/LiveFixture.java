package org.sedgeroad.live;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.limit.Admission;
import org.sedgeroad.peer.PeerMessage;
import org.sedgeroad.route.CrashingRequestDetector;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.HedgePolicies;
import org.sedgeroad.route.HedgePolicy;
import org.sedgeroad.route.Placement;
import org.sedgeroad.route.PrefixHints;
import org.sedgeroad.route.RequestShape;
import org.sedgeroad.route.RoutingPolicies;
import org.sedgeroad.store.StoreWriter;

/** Test fixture with a live service, endpoints {@code e0}, {@code e1}, … and one request. */
final class LiveFixture {
  final List<PeerMessage> sentMessages = new ArrayList<>();
  final LiveEventQueue eventQueue = new LiveEventQueue();
  PlacementListener placements =
      new PlacementListener() {
        @Override
        public void placed(Placement placement, EndpointView before) {}

        @Override
        public void ended(Placement placement) {}
      };
  final CrashReportExchange crashReportExchange =
      new CrashReportExchange(
          "entry",
          new CrashingRequestDetector(InstantSource.system()),
          () -> List.of("entry", "peer"),
          (peer, message) -> sentMessages.add(message),
          null,
          MonotonicClock.SYSTEM,
          EventLog.of("test"));
  HedgePolicy hedging = HedgePolicies.named("none");
  private final PrefixHints hints = new PrefixHints(MonotonicClock.SYSTEM);
  final EndpointTable endpoints = EndpointTable.of("r", MonotonicClock.SYSTEM);
  private boolean idempotent = true;
  private boolean deterministic;
  private long deadlineMillis = 5_000;

  LiveFixture(int count) {
    endpoints.replace(
        IntStream.range(0, count)
            .mapToObj(
                index ->
                    new Endpoint(
                        "e" + index,
                        "s",
                        URI.create("http://127.0.0.1:" + (9000 + index)),
                        "d",
                        "r",
                        EndpointState.LIVE))
            .toList());
  }

  LiveFixture withIdempotent(boolean value) {
    idempotent = value;
    return this;
  }

  LiveFixture withDeterministic() {
    deterministic = true;
    return this;
  }

  LiveFixture withDeadlineMillis(long millis) {
    deadlineMillis = millis;
    return this;
  }

  int inFlight() {
    return endpoints.usableEndpoints().stream().mapToInt(EndpointView::inFlight).sum();
  }

  RequestShape shape() {
    return new RequestShape(
        "s", "m", ServiceClass.LIVE, 10, 10, 0, "fingerprint", idempotent, Set.of());
  }

  FakeSink serve(FakeEngine engine) throws Exception {
    FakeSink sink = new FakeSink();
    service(engine).serve(request(), eventQueue, sink);
    return sink;
  }

  private LiveService service(FakeEngine engine) {
    return new LiveService(
        new LiveServiceDependencies(
            endpoints,
            placements,
            RoutingPolicies.named("least-cost", endpoints.costs(), hints),
            hints,
            hedging,
            crashReportExchange,
            engine,
            (member, serviceClass, tokens) -> new Admission.Admitted(),
            ClaimRegistry.of(StoreWriter.of(null, "test")),
            MonotonicClock.SYSTEM,
            new Random(1),
            EventLog.of("test")));
  }

  private LiveRequest request() {
    return new LiveRequest(
        "r",
        "POST",
        "/v1/completions",
        Map.of(),
        "{\"stream\":true}".getBytes(StandardCharsets.UTF_8),
        "",
        deterministic,
        MonotonicClock.SYSTEM.deadlineAfterMillis(deadlineMillis),
        shape());
  }
}
