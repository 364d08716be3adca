package org.sedgeroad.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.access.WorkspaceDirectory;
import org.sedgeroad.gateway.Refusal;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.EndpointTotal;
import org.sedgeroad.presence.LoadTotals;
import org.sedgeroad.presence.Occupancy;

/**
 * Collects what is known of the slots of the workspaces, for {@link FairOrder} and {@link
 * ScarcityPolicy}. Without workspaces in the configuration it changes nothing. Used on the event
 * loop.
 */
final class SlotSharing {
  /**
   * Free slots that requests of a workspace above its share leave to those of others, for each
   * square root of the live requests: the number of live requests varies by its square root, and
   * the counts of other instances are some tens of milliseconds old. Of the others' requests in a
   * burst, 0.90 are on time with 0.75, 0.91 with 1.2, 0.94 with 1.6 and with 2 ({@code
   * FairSharesSimulationTest}).
   */
  private static final double RESERVE = 1.6;

  private final EndpointDirectory endpoints;
  private final WaitingRequests waiting;
  private final MonotonicClock clock;
  private final DoubleSupplier random;
  private final HoldTime holdTime = new HoldTime();
  private Supplier<WorkspaceDirectory> workspaces = () -> WorkspaceDirectory.NONE;
  private Supplier<Map<String, Integer>> ownRunning = Map::of;

  /**
   * Creates the sharing of an instance without workspaces.
   *
   * @param endpoints the endpoints and their load
   * @param waiting waiting live requests of this instance
   * @param clock source of monotonic time
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   */
  SlotSharing(
      EndpointDirectory endpoints,
      WaitingRequests waiting,
      MonotonicClock clock,
      DoubleSupplier random) {
    this.endpoints = endpoints;
    this.waiting = waiting;
    this.clock = clock;
    this.random = random;
  }

  /** Sets the sources of the workspaces and of this instance's requests at endpoints. */
  void setWorkspaces(
      Supplier<WorkspaceDirectory> directory, Supplier<Map<String, Integer>> running) {
    workspaces = directory;
    ownRunning = running;
  }

  /** Returns whether the configuration in force has workspaces. */
  boolean isActive() {
    return workspaces.get().isRequired();
  }

  /** Returns the live slots in use by workspace. */
  SlotUse use() {
    LoadTotals others = endpoints.others();
    int live =
        others.endpoints().values().stream().mapToInt(EndpointTotal::live).sum()
            + endpoints.occupancy().values().stream().mapToInt(Occupancy::live).sum();
    return SlotUse.of(
        workspaces.get(),
        others.details().workspaces(),
        ownRunning.get(),
        waiting.byWorkspace(),
        live);
  }

  /**
   * Returns the slots of a workspace and its fair share, empty if there is no such workspace.
   *
   * @param priority priority of its requests if the workspace has none of its own
   */
  Optional<FairShare> share(String workspace, int priority) {
    return workspaces
        .get()
        .find(workspace)
        .map(found -> use().share(workspace, found.priority().orElse(priority)));
  }

  /**
   * Returns whether the workspace of a request uses far more than its fair share. Its requests are
   * not queued inside endpoints, which leaves this room to others: they are then served first
   * wherever a slot is released. They take free slots in rounds, as deferrable requests do, because
   * many instances have such requests and see the same free slot.
   */
  boolean isExceeded(LiveDemand demand, SlotUse use) {
    return !demand.workspace().isEmpty()
        && use.share(demand.workspace(), demand.priority()).isExceeded();
  }

  /**
   * Returns whether more slots are free than those that wait for them need before a request that
   * arrives, and than requests of others take before this instance hears of them.
   */
  boolean hasFreeSlot(LiveDemand demand, SlotUse use, List<EndpointLoad> loads) {
    return room(loads, 0) - reserve(loads) > waitingBefore(demand, use);
  }

  /**
   * Returns whether so many slots are free that the order of the requests does not matter. Answers
   * the usual load, at which shares need not be computed for each request.
   */
  boolean hasAmpleRoom(List<EndpointLoad> loads) {
    return room(loads, 0) - reserve(loads) > waiting.size() + endpoints.others().liveWaiting();
  }

  /** Returns whether more slots are free than are left to requests of others. */
  boolean hasFreeSlot(List<EndpointLoad> loads) {
    return room(loads, 0) > reserve(loads);
  }

  /**
   * Returns how many requests are placed in a round: a share of the free slots without those that
   * are left to requests of others.
   *
   * @param share share of all free slots
   */
  int limitRound(int share, List<EndpointLoad> loads) {
    int free = room(loads, 0);
    double fraction = free == 0 ? 0 : Math.max(0, free - reserve(loads)) / free;
    return (int) Math.floor(share * fraction + random.getAsDouble());
  }

  private static double reserve(List<EndpointLoad> loads) {
    return RESERVE * Math.sqrt(loads.stream().mapToInt(EndpointLoad::live).sum());
  }

  private int waitingBefore(LiveDemand demand, SlotUse use) {
    return (int)
        (fractionOfService(demand.service())
            * use.waitingBefore(demand.workspace(), demand.priority()));
  }

  /** Returns the refusal of a request that arrives when its workspace has to wait for too long. */
  Optional<Refusal> refusal(LiveDemand demand) {
    if (demand.workspace().isEmpty() || !demand.excluded().isEmpty() || !isActive()) {
      return Optional.empty();
    }
    List<EndpointLoad> loads = endpoints.loads(demand.service(), demand.excluded());
    if (hasAmpleRoom(loads)) {
      return Optional.empty();
    }
    SlotUse use = use();
    FairShare share = use.share(demand.workspace(), demand.priority());
    boolean hasRoom =
        share.isExceeded()
            ? hasFreeSlot(demand, use, loads)
            : room(loads, LivePlacement.MAXIMUM_QUEUE_IN_ENDPOINT) > 0;
    if (hasRoom) {
      return Optional.empty();
    }
    long now = clock.nanos();
    ScarcityPolicy.Arrival arrival =
        new ScarcityPolicy.Arrival(
            share,
            waitingBefore(demand, use),
            (int) (fractionOfService(demand.service()) * use.waiting(demand.workspace())),
            loads.stream().mapToInt(EndpointLoad::live).sum(),
            holdTime.meanNanos(demand.service()),
            demand.objectiveNanos() - now,
            demand.deadlineNanos() - now);
    return ScarcityPolicy.decide(arrival, random.getAsDouble())
        .map(
            rejection ->
                new Refusal(
                    Refusal.Reason.NOT_RUN, rejection.cause(), now + rejection.returnNanos()));
  }

  /**
   * Returns which fraction of the waiting requests of the fleet waits for a service, if those of
   * the other instances are for the same services as those of this one.
   */
  private double fractionOfService(String service) {
    return waiting.isEmpty() ? 1 : (double) waiting.count(service) / waiting.size();
  }

  /**
   * Returns how many live requests the endpoints take now.
   *
   * @param queued number of requests that may be queued inside an endpoint
   */
  private static int room(List<EndpointLoad> loads, int queued) {
    return LivePlacement.healthy(loads).stream()
        .mapToInt(
            load ->
                Math.max(
                    0, Math.min(load.endpoint().slots() + queued - load.live(), load.allowance())))
        .sum();
  }

  /** Records that a live request takes a slot, or releases it, before the slot is counted. */
  void recordChange(ServiceEndpoint endpoint, int releases) {
    int held = 0;
    for (ServiceEndpoint each : endpoints.all()) {
      held += each.service().equals(endpoint.service()) ? endpoints.own(each.name()).live() : 0;
    }
    holdTime.record(endpoint.service(), held, releases, clock.nanos());
  }
}
