package org.sedgeroad.entry;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sedgeroad.Endpoint;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.live.LivePressureExchange;
import org.sedgeroad.peer.EndpointNews;
import org.sedgeroad.peer.Heartbeat;
import org.sedgeroad.peer.LivePressure;
import org.sedgeroad.peer.MembershipView;
import org.sedgeroad.peer.PeerMessage;
import org.sedgeroad.peer.PeerNetwork;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.route.EndpointStateListener;
import org.sedgeroad.route.EndpointTable;

/**
 * Exchanges endpoint state and live request counts with the other instances of a failure domain.
 */
final class EndpointStateExchange implements EndpointStateListener {
  private final String instance;
  private final PeerNetwork network;
  private final MembershipView membership;
  private final EndpointTable endpoints;
  private final LivePressureExchange livePressure;
  private final EventLog log;
  private volatile Consumer<EndpointNews> failureListener = message -> {};

  EndpointStateExchange(
      String instance,
      PeerNetwork network,
      MembershipView membership,
      EndpointTable endpoints,
      LivePressureExchange livePressure,
      EventLog log) {
    this.instance = instance;
    this.network = network;
    this.membership = membership;
    this.endpoints = endpoints;
    this.livePressure = livePressure;
    this.log = log;
  }

  /** Starts to handle messages and to notify peers of draining and failed endpoints. */
  void start() {
    network.handle(EndpointNews.class, this::receive);
    network.handle(
        LivePressure.class,
        (sender, pressure) -> {
          livePressure.receive(pressure);
          return Optional.empty();
        });
    endpoints.setListener(this);
  }

  /**
   * Sets the receiver of endpoint failures that other instances report. A report by itself does not
   * change the state of an endpoint.
   */
  void setFailureListener(Consumer<EndpointNews> listener) {
    failureListener = listener;
  }

  /**
   * Returns the live requests of this instance by endpoint, for the endpoints that the given peer
   * owns.
   */
  Map<String, Integer> liveCounts(String peer) {
    Map<String, Integer> counts = new HashMap<>();
    endpoints
        .ownLiveCounts()
        .forEach(
            (endpoint, count) -> {
              if (RendezvousHashing.ranksFirst(endpoint, peer, membership.liveInstances())) {
                counts.put(endpoint, count);
              }
            });
    return counts;
  }

  /**
   * Applies the live counts of a regular heartbeat; answers to heartbeats carry none and are
   * skipped.
   */
  void receive(Heartbeat heartbeat) {
    if (!heartbeat.progress().isEmpty()) {
      livePressure.receiveCounts(heartbeat.sender(), heartbeat.liveCounts());
    }
  }

  @Override
  public void draining(Endpoint endpoint) {
    notifyPeers(endpoint, EndpointNews.Cause.DRAINING);
  }

  @Override
  public void failed(Endpoint endpoint) {
    notifyPeers(endpoint, EndpointNews.Cause.FAILED);
  }

  private void notifyPeers(Endpoint endpoint, EndpointNews.Cause cause) {
    EndpointNews message = new EndpointNews(endpoint.name(), endpoint.address().toString(), cause);
    membership.liveInstances().stream()
        .filter(peer -> !peer.equals(instance))
        .forEach(peer -> network.send(peer, message));
  }

  private Optional<PeerMessage> receive(String sender, EndpointNews message) {
    if (message.cause() == EndpointNews.Cause.DRAINING) {
      log.log(
          LogEvent.ENDPOINT_DRAINING,
          EventField.of("endpoint", message.endpoint()),
          EventField.of("peer", sender));
      endpoints.markDrainingByPeer(message.endpoint(), URI.create(message.address()));
    } else {
      // Only the sender's connection to the endpoint may have failed, so this is merely a hint.
      failureListener.accept(message);
    }
    return Optional.empty();
  }
}
