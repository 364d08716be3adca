package org.sedgeroad.live;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.sedgeroad.Endpoint;
import org.sedgeroad.peer.LivePressure;
import org.sedgeroad.peer.MembershipView;
import org.sedgeroad.peer.PeerMessage;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;

/**
 * Reports this instance's live requests at each endpoint to the endpoint's owner, and processes the
 * reports of other instances, so that batch items are preempted. Thread-safe; no method blocks.
 */
public final class LivePressureExchange implements PlacementListener {
  /**
   * Maximum number of instances in a failure domain for all of them to be notified of each live
   * request. Three additional messages for each request are within the budget of an instance; 31
   * would not be.
   */
  private static final int MAX_SMALL_DOMAIN_SIZE = 4;

  private final String instance;
  private final String domain;
  private final EndpointTable endpoints;
  private final MembershipView membership;
  private final Function<String, List<String>> bridges;
  private final BiConsumer<String, PeerMessage> messageSender;
  private final Runnable wakeJobRunner;
  private final AtomicLong sequence;
  private final Set<String> foreignSenders = ConcurrentHashMap.newKeySet();

  /**
   * Creates an exchange.
   *
   * @param instance name of this instance
   * @param domain failure domain of this instance
   * @param endpoints endpoint table
   * @param membership live instances of the failure domain
   * @param bridges returns the instances of another failure domain that forward messages to the
   *     owners there
   * @param messageSender sends a message to an instance without blocking
   * @param wakeJobRunner makes the job runner check its batch items at once
   * @param startMillis start time of the process in milliseconds since 1970, so that sequence
   *     numbers increase across restarts
   */
  public LivePressureExchange(
      String instance,
      String domain,
      EndpointTable endpoints,
      MembershipView membership,
      Function<String, List<String>> bridges,
      BiConsumer<String, PeerMessage> messageSender,
      Runnable wakeJobRunner,
      long startMillis) {
    this.instance = instance;
    this.domain = domain;
    this.endpoints = endpoints;
    this.membership = membership;
    this.bridges = bridges;
    this.messageSender = messageSender;
    this.wakeJobRunner = wakeJobRunner;
    // Leaves 2^20 sequence numbers for each millisecond, more than an instance can use.
    this.sequence = new AtomicLong(startMillis << 20);
  }

  @Override
  public void placed(Placement placement, EndpointView before) {
    if (!before.endpoint().domain().equals(domain)) {
      reportToOtherDomain(before.endpoint());
    } else if (!reportToOwner(placement.endpoint()) && before.batch() > 0) {
      wakeJobRunner.run();
    }
  }

  @Override
  public void ended(Placement placement) {
    endpoints
        .find(placement.endpoint())
        .ifPresent(
            endpoint -> {
              if (endpoint.domain().equals(domain)) {
                reportToOwner(endpoint.name());
              } else {
                reportToOtherDomain(endpoint);
              }
            });
  }

  /** Sends the counts at endpoints of other failure domains again. Called about every second. */
  public void resendToOtherDomains() {
    endpoints
        .ownLiveCounts()
        .keySet()
        .forEach(
            name ->
                endpoints
                    .find(name)
                    .filter(endpoint -> !endpoint.domain().equals(domain))
                    .ifPresent(this::reportToOtherDomain));
  }

  /**
   * Processes a report of another instance. A report from another failure domain is forwarded to
   * the endpoint's owner if that is another instance.
   */
  public void receive(LivePressure message) {
    if (membership.liveInstances().contains(message.sender())) {
      foreignSenders.remove(message.sender());
    } else {
      foreignSenders.add(message.sender());
      String owner = owner(message.endpoint());
      if (!owner.equals(instance)) {
        messageSender.accept(owner, message);
        return;
      }
    }
    boolean accepted =
        endpoints.setPeerLive(
            message.sender(), message.sequence(), message.endpoint(), message.liveRequests());
    if (accepted) {
      wakeJobRunner.run();
    }
  }

  /** Processes the counts in a heartbeat of another instance. */
  public void receiveCounts(String sender, Map<String, Integer> liveCounts) {
    // Heartbeats from other failure domains have no counts: those are sent as separate reports.
    if (!sender.equals(instance) && membership.liveInstances().contains(sender)) {
      endpoints.setPeerLive(sender, liveCounts);
    }
  }

  /** Removes the counts of instances that are considered failed. Called about every second. */
  public void removeFailedPeers() {
    endpoints.retainPeers(membership.liveInstances(), foreignSenders);
  }

  /**
   * Reports to the endpoint's owner and, in a small failure domain, to the other instances. Returns
   * false if this instance is the owner.
   */
  private boolean reportToOwner(String endpoint) {
    String owner = owner(endpoint);
    if (owner.equals(instance)) {
      reportToOtherPeers(endpoint, owner);
      return false;
    }
    messageSender.accept(owner, report(endpoint));
    reportToOtherPeers(endpoint, owner);
    return true;
  }

  /**
   * Reports to the other instances of a small failure domain, so that they do not choose the same
   * endpoint. In a large one the counts in the heartbeats have to be sufficient.
   */
  private void reportToOtherPeers(String endpoint, String owner) {
    List<String> live = membership.liveInstances();
    if (live.size() <= MAX_SMALL_DOMAIN_SIZE) {
      live.stream()
          .filter(peer -> !peer.equals(instance) && !peer.equals(owner))
          .forEach(peer -> messageSender.accept(peer, report(endpoint)));
    }
  }

  private String owner(String endpoint) {
    return RendezvousHashing.rank(endpoint, membership.liveInstances()).get(0);
  }

  private void reportToOtherDomain(Endpoint endpoint) {
    List<String> forwarders = bridges.apply(endpoint.domain());
    if (!forwarders.isEmpty()) {
      messageSender.accept(forwarders.get(0), report(endpoint.name()));
    }
  }

  /**
   * Returns a report with the next sequence number and the current count. Both are read together,
   * so that a report with a higher number never has an older count.
   */
  private synchronized LivePressure report(String endpoint) {
    return new LivePressure(
        instance, endpoint, sequence.incrementAndGet(), endpoints.ownLive(endpoint));
  }
}
