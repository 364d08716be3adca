package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.FleetLoad;
import org.sedgeroad.presence.LoadTotals;

/** Tests the division of free slots among the items of several instances. */
class DispatcherTest {
  private static final String SERVICE = "engine";
  private static final int SLOTS = 8;

  @Nested
  class LateItems {
    @Test
    void takeNoSlotsThatItemsOfOtherInstancesNeedToBeOnTime() {
      assertEquals(0, startedOf(BatchQueue.late(SERVICE), Map.of(SERVICE, SLOTS)));
    }

    @Test
    void takeTheSlotsThatAreLeftOver() {
      assertEquals(SLOTS - 3, startedOf(BatchQueue.late(SERVICE), Map.of(SERVICE, 3)));
    }

    @Test
    void takeAllSlotsIfOtherInstancesHaveNoItems() {
      assertEquals(SLOTS, startedOf(BatchQueue.late(SERVICE), Map.of()));
    }
  }

  @Nested
  class ItemsThatCanBeOnTime {
    @Test
    void takeAllSlotsBesideLateItemsOfOtherInstances() {
      String late = BatchQueue.late(SERVICE).reportName();
      assertEquals(SLOTS, startedOf(BatchQueue.onTime(SERVICE), Map.of(late, 100)));
    }
  }

  @Nested
  class RequestsForALimitedRate {
    private final Dispatcher dispatcher = dispatcher(Map.of());

    @BeforeEach
    void limit() {
      dispatcher.setRestrictions(new NoRoom(2));
    }

    private void submit(String service) {
      long later = 60_000_000_000L;
      dispatcher.submit(LiveDemand.of(service, "", 0, later, later, Set.of(), endpoint -> {}));
    }

    private double secondsUntilAllowed() {
      return dispatcher.nanosUntilRateAllows(SERVICE, Set.of()) / 1e9;
    }

    @Test
    void waitForThoseOfTheSameServiceOnly() {
      assertEquals(0.5, secondsUntilAllowed());
      submit("other");
      submit("other");
      assertEquals(0.5, secondsUntilAllowed());
      submit(SERVICE);
      assertEquals(1, secondsUntilAllowed());
    }

    @Test
    void areToldIfOnlyOtherInstancesMaySend() {
      dispatcher.setRestrictions(new NoRoom(0));
      assertEquals(Long.MAX_VALUE, dispatcher.nanosUntilRateAllows(SERVICE, Set.of()));
    }
  }

  /** Guards against requests that stay counted for a workspace after their end, or are missed. */
  @Nested
  class RequestsOfWorkspaces {
    private final Dispatcher dispatcher = dispatcher(Map.of());

    private void submit(String workspace) {
      long later = 60_000_000_000L;
      dispatcher.submit(
          LiveDemand.of(SERVICE, workspace, 0, later, later, Set.of(), endpoint -> {}));
    }

    @Test
    void areCountedWhileTheyRunAndWhileTheyWait() {
      submit("go");
      int chess = 0;
      for (; dispatcher.liveWaiting() == 0; chess++) {
        submit("chess");
      }
      submit("");
      assertEquals(Map.of("go", 1, "chess", chess - 1), dispatcher.liveRunningByWorkspace());
      assertEquals(Map.of("chess", 1), dispatcher.liveWaitingByWorkspace());
      dispatcher.releaseLive("endpoint", "go");
      assertEquals(Map.of("chess", chess), dispatcher.liveRunningByWorkspace());
      assertEquals(Map.of(), dispatcher.liveWaitingByWorkspace());
    }
  }

  /** Returns how many items an instance starts that has more ready items than there are slots. */
  private static int startedOf(BatchQueue queue, Map<String, Integer> readyOfOthers) {
    Dispatcher dispatcher = dispatcher(readyOfOthers);
    Items items = new Items(queue);
    dispatcher.setBatchSource(items);
    dispatcher.refresh();
    return items.started;
  }

  /** Returns a dispatcher with one endpoint. */
  private static Dispatcher dispatcher(Map<String, Integer> readyOfOthers) {
    Dispatcher dispatcher =
        new Dispatcher(
            "instance",
            "domain",
            domain -> "region",
            new ReadyItemsOfOthers(readyOfOthers),
            new VirtualTime(),
            () -> 0);
    dispatcher.setEndpoints(
        List.of(new ServiceEndpoint("endpoint", SERVICE, "10.0.0.1:80", "domain", SLOTS, false)),
        List.of());
    return dispatcher;
  }

  /** All endpoints accept a rate that is used up. */
  private record NoRoom(double requestsPerSecond) implements EndpointRestrictions {
    @Override
    public boolean isLeaving(ServiceEndpoint endpoint) {
      return false;
    }

    @Override
    public int allowance(ServiceEndpoint endpoint) {
      return 0;
    }

    @Override
    public OptionalDouble rate(ServiceEndpoint endpoint) {
      return OptionalDouble.of(requestsPerSecond);
    }

    @Override
    public void sent(ServiceEndpoint endpoint) {
      throw new IllegalStateException("nothing may be sent");
    }

    @Override
    public Map<String, Integer> sentToLimited() {
      return Map.of();
    }

    @Override
    public void update(int peersExpected) {
      // The rate does not depend on other instances.
    }

    @Override
    public void retain(Collection<ServiceEndpoint> endpoints) {
      // Nothing is kept.
    }
  }

  private static final class Items implements BatchSource {
    private final BatchQueue queue;
    private int started;

    Items(BatchQueue queue) {
      this.queue = queue;
    }

    @Override
    public Map<BatchQueue, Integer> ready() {
      return Map.of(queue, 2 * SLOTS - started);
    }

    @Override
    public boolean startNext(ServiceEndpoint endpoint) {
      started++;
      return true;
    }

    @Override
    public boolean preempt(String endpoint) {
      return false;
    }
  }

  /** One other instance that has ready items and no work at the endpoints. */
  private record ReadyItemsOfOthers(Map<String, Integer> ready) implements FleetLoad {
    @Override
    public LoadTotals others(long nowNanos) {
      return new LoadTotals(1, 0, 0, 0, ready, Map.of(), Map.of(), Map.of());
    }

    @Override
    public boolean hasExchangedSince(long sinceNanos, int expected, long nowNanos) {
      return true;
    }

    @Override
    public boolean isCounted(String name, long nowNanos) {
      return true;
    }

    @Override
    public boolean isLive(String name, long nowNanos) {
      return true;
    }

    @Override
    public List<String> liveInstances(long nowNanos) {
      return List.of("other");
    }

    @Override
    public boolean isLeaving(String name) {
      return false;
    }

    @Override
    public boolean isFailed(String name, long nowNanos) {
      return false;
    }

    @Override
    public boolean hasLostContact(long nowNanos) {
      return false;
    }

    @Override
    public int contactEpoch(long nowNanos) {
      return 0;
    }

    @Override
    public boolean isIsolated(long nowNanos) {
      return false;
    }
  }
}
