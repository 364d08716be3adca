package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.LoadReportTable;

/** Guards against items that wait for ever because nothing happens any more. */
class WaitingItemsTest {
  private static final String SERVICE = "engine";
  private static final ServiceEndpoint ENDPOINT =
      new ServiceEndpoint("engine-0", SERVICE, "10.0.0.1:80", "domain", 8, false);
  private static final long TICK_NANOS = 50_000_000L;
  private static final long DUE_NANOS = 18_000_000_000L;
  private static final long NEEDED_NANOS = 4_500_000_000L;

  private long nowNanos;
  private final OneItem item = new OneItem();
  private final Deque<Long> releases = new ArrayDeque<>();
  private final Dispatcher dispatcher =
      new Dispatcher(
          "instance", "domain", key -> "region", new LoadReportTable(), () -> nowNanos, () -> 0.5);

  WaitingItemsTest() {
    dispatcher.setEndpoints(List.of(ENDPOINT), List.of());
    dispatcher.setBatchSource(item);
  }

  private void tick() {
    nowNanos += TICK_NANOS;
    while (!releases.isEmpty() && releases.peek() <= nowNanos) {
      releases.remove();
      dispatcher.release(ENDPOINT.name(), WorkClass.LIVE);
    }
    dispatcher.tick(0);
  }

  private void submitLive(double seconds) {
    long later = nowNanos + 60_000_000_000L;
    dispatcher.submit(
        LiveDemand.of(
            SERVICE,
            "",
            0,
            later,
            later,
            Set.of(),
            endpoint -> releases.add(nowNanos + (long) (seconds * 1e9))));
  }

  /** Eight live requests of 0.8 s in each 4 ticks of a peak, none between the peaks. */
  private void runSquarePeaks(double seconds) {
    for (int step = 0; step < seconds * 20; step++) {
      if (step % 132 >= 76 && releases.isEmpty()) {
        for (int count = 0; count < 8; count++) {
          submitLive(0.8);
        }
      }
      tick();
    }
  }

  @Test
  void itemWaitsForTheEndOfThePeakThatIsExpected() {
    runSquarePeaks(22.8); // 0.8 s before the next peak
    item.submit();
    tick();
    assertEquals(0, item.started);
    runUntilStarted(13);
  }

  @Test
  void itemStartsInTimeAfterTheLastLiveRequestAlthoughPeaksAreExpected() {
    runSquarePeaks(22.8);
    item.submit();
    runUntilStarted(18 - 4.5 - 2);
  }

  @Test
  void itemStartsAfterTheLastReleaseOfASlot() {
    for (int count = 0; count < 8; count++) {
      submitLive(2);
    }
    tick();
    item.submit();
    tick();
    assertEquals(0, item.started);
    runUntilStarted(2.1);
  }

  @Test
  void itemStartsAfterEndpointsReturn() {
    dispatcher.setEndpoints(List.of(), List.of());
    item.submit();
    tick();
    assertEquals(0, item.started);
    dispatcher.setEndpoints(List.of(ENDPOINT), List.of());
    runUntilStarted(0.1);
  }

  private void runUntilStarted(double seconds) {
    for (int step = 0; step < seconds * 20 && item.started == 0; step++) {
      tick();
    }
    assertEquals(1, item.started);
    assertTrue(item.dueNanos - nowNanos >= NEEDED_NANOS, "the item is late");
  }

  /** A source with at most one item. */
  private final class OneItem implements BatchSource {
    private boolean ready;
    private int started;
    private long dueNanos;

    void submit() {
      ready = true;
      dueNanos = nowNanos + DUE_NANOS;
      dispatcher.refresh();
    }

    private ItemUrgency urgency() {
      return new ItemUrgency(dueNanos, nowNanos, NEEDED_NANOS);
    }

    @Override
    public Map<BatchQueue, Integer> ready() {
      return ready ? Map.of(new BatchQueue(SERVICE, urgency().isLate()), 1) : Map.of();
    }

    @Override
    public Optional<ItemUrgency> next(String service) {
      return ready ? Optional.of(urgency()) : Optional.empty();
    }

    @Override
    public boolean startNext(ServiceEndpoint endpoint) {
      boolean starts = ready;
      ready = false;
      started += starts ? 1 : 0;
      return starts;
    }

    @Override
    public boolean preempt(String endpoint) {
      return false;
    }
  }
}
