package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.ServiceEndpoint;

class EndpointSpeedsTest {
  private final VirtualTime time = new VirtualTime();
  private final EndpointSpeeds speeds = new EndpointSpeeds(time);
  private final EndpointSpeeds peer = new EndpointSpeeds(time);
  private final List<ServiceEndpoint> endpoints =
      new ArrayList<>(List.of(endpoint("a", 1), endpoint("b", 1), endpoint("c", 1)));

  private static ServiceEndpoint endpoint(String name, long startedMillis) {
    return new ServiceEndpoint(name, "engine", "10.0.0.1:80", "d", 8, false, startedMillis);
  }

  /** Streams with events each 20 ms, times the slowness, run at both instances for a time. */
  private void stream(double seconds, ToDoubleFunction<ServiceEndpoint> slowness) {
    Random random = new Random(1);
    for (EndpointSpeeds instance : List.of(speeds, peer)) {
      instance.retain(endpoints);
      for (ServiceEndpoint endpoint : endpoints) {
        // The peer uses the slowest endpoint only.
        if (instance == speeds || endpoint.name().equals("c")) {
          RunTiming timing = instance.begin(endpoint);
          scheduleEvent(timing, endpoint, slowness, random, time.nanos() / 1e6 + seconds * 1_000);
        }
      }
    }
    for (int tick = 0; tick < seconds * 20; tick++) {
      time.runUntil(time.nanos() / 1e6 + 50);
      speeds.update(endpoints, peer.reported());
      peer.update(endpoints, speeds.reported());
    }
  }

  private void scheduleEvent(
      RunTiming timing,
      ServiceEndpoint endpoint,
      ToDoubleFunction<ServiceEndpoint> slowness,
      Random random,
      double untilMillis) {
    double millis = 20 * slowness.applyAsDouble(endpoint) * (0.8 + 0.4 * random.nextDouble());
    if (time.nanos() / 1e6 + millis < untilMillis) {
      time.after(
          millis,
          () -> {
            timing.received(1);
            scheduleEvent(timing, endpoint, slowness, random, untilMillis);
          });
    }
  }

  private static double uneven(ServiceEndpoint endpoint) {
    return endpoint.name().equals("c") ? 1.7 : 0.7;
  }

  /** Guards against a slow endpoint that counts as one of usual speed where it is used alone. */
  @Test
  void areRelativeToTheMedianOfTheServiceAtEachInstance() {
    stream(20, EndpointSpeedsTest::uneven);
    assertEquals(1, speeds.factor("a"));
    assertEquals(1.7 / 0.7, speeds.factor("c"), 0.15);
  }

  /** Guards against a choice by noise among endpoints that are equally fast. */
  @Test
  void areEqualForEndpointsThatDifferByNoise() {
    stream(20, endpoint -> endpoint.name().equals("c") ? 1.08 : 1);
    endpoints.forEach(endpoint -> assertEquals(1, speeds.factor(endpoint.name())));
  }

  /** Guards against an endpoint that is avoided for seconds after a short pause. */
  @Test
  void areNotChangedBySlowPhaseOfHalfASecond() {
    stream(8, endpoint -> 1);
    double until = time.nanos() / 1e6 + 500;
    for (int step = 0; step < 12; step++) {
      stream(0.5, endpoint -> endpoint.name().equals("c") && time.nanos() / 1e6 < until ? 5 : 1);
      assertEquals(1, speeds.factor("c"));
    }
  }

  /** Guards against a restarted endpoint that keeps the speed of its earlier incarnation. */
  @Test
  void areForgottenWithTheIncarnation() {
    stream(20, EndpointSpeedsTest::uneven);
    assertTrue(speeds.factor("c") > 2);
    endpoints.set(2, endpoint("c", 2));
    speeds.retain(endpoints);
    assertEquals(1, speeds.factor("c"));
  }
}
