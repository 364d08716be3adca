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
import org.sedgeroad.peer.Rendezvous;
import org.sedgeroad.route.EndpointListener;
import org.sedgeroad.route.EndpointTable;

/** Carries what instances of one failure domain tell each other about endpoints. */
final class PeerExchange implements EndpointListener {
  private final String instance;
  private final PeerNetwork network;
  private final MembershipView membership;
  private final EndpointTable endpoints;
  private final LivePressureExchange livePressure;
  private final EventLog log;
  private volatile Consumer<EndpointNews> failureHints = news -> {};

  PeerExchange(
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

  /** Starts to take messages and to tell peers of endpoints that go out of use. */
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

  /** Sets who learns of failures that other instances saw; they change nothing by themselves. */
  void setFailureHints(Consumer<EndpointNews> consumer) {
    failureHints = consumer;
  }

  /** Returns this instance's live requests at the endpoints whose home is the given peer. */
  Map<String, Integer> liveCounts(String peer) {
    Map<String, Integer> counts = new HashMap<>();
    endpoints
        .ownLiveCounts()
        .forEach(
            (endpoint, count) -> {
              if (Rendezvous.isFirst(endpoint, peer, membership.liveInstances())) {
                counts.put(endpoint, count);
              }
            });
    return counts;
  }

  /** Takes the counts of a regular heartbeat; answers to heartbeats carry none. */
  void receive(Heartbeat heartbeat) {
    if (!heartbeat.progress().isEmpty()) {
      livePressure.receiveCounts(heartbeat.sender(), heartbeat.liveCounts());
    }
  }

  // -----------------------------------------------------------------------

  @Override
  public void draining(Endpoint endpoint) {
    tellPeers(endpoint, EndpointNews.Cause.DRAINING);
  }

  @Override
  public void failed(Endpoint endpoint) {
    tellPeers(endpoint, EndpointNews.Cause.FAILED);
  }

  private void tellPeers(Endpoint endpoint, EndpointNews.Cause cause) {
    EndpointNews news = new EndpointNews(endpoint.name(), endpoint.address().toString(), cause);
    membership.liveInstances().stream()
        .filter(peer -> !peer.equals(instance))
        .forEach(peer -> network.send(peer, news));
  }

  private Optional<PeerMessage> receive(String sender, EndpointNews news) {
    if (news.cause() == EndpointNews.Cause.DRAINING) {
      log.log(
          LogEvent.ENDPOINT_DRAINING,
          EventField.of("endpoint", news.endpoint()),
          EventField.of("peer", sender));
      endpoints.markDrainingByPeer(news.endpoint(), URI.create(news.address()));
    } else {
      // One instance may have lost its own way to the endpoint, so this is a hint only.
      failureHints.accept(news);
    }
    return Optional.empty();
  }
}
