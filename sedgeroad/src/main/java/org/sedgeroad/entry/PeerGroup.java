package org.sedgeroad.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.live.LivePressureExchange;
import org.sedgeroad.peer.GossipMembership;
import org.sedgeroad.peer.GossipSettings;
import org.sedgeroad.peer.HeartbeatContent;
import org.sedgeroad.peer.MembershipService;
import org.sedgeroad.peer.TcpPeerNetwork;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.settings.DomainSetting;
import org.sedgeroad.settings.Settings;
import org.sedgeroad.store.ObjectStore;

/** The peer network of one instance, its membership and the parts that depend on both. */
final class PeerGroup implements AutoCloseable {
  private final Settings settings;
  private final MonotonicClock clock;
  private final EventLog log;
  private final TcpPeerNetwork network;
  private final GossipMembership membership;
  private final MembershipService service;
  private volatile Supplier<HeartbeatContent> content = () -> HeartbeatContent.EMPTY;

  private PeerGroup(Settings settings, MonotonicClock clock, EventLog log) throws IOException {
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    this.network = TcpPeerNetwork.bind(settings.instance(), settings.peerAddress(), clock, log);
    this.membership =
        GossipMembership.of(
            new GossipSettings(
                settings.instance(),
                settings.domain(),
                text(network.address()),
                System.currentTimeMillis(),
                settings.seeds().stream().map(PeerGroup::text).toList(),
                settings.domains().stream().map(DomainSetting::domain).toList()));
    this.service =
        new MembershipService(
            settings.instance(), membership, network, () -> content.get(), clock, log);
  }

  /**
   * Creates the network and binds the peer address of the settings.
   *
   * @throws UncheckedIOException if the address can't be bound
   */
  static PeerGroup of(Settings settings, MonotonicClock clock, EventLog log) {
    try {
      return new PeerGroup(settings, clock, log);
    } catch (IOException failure) {
      throw new UncheckedIOException("can't listen on " + settings.peerAddress(), failure);
    }
  }

  TcpPeerNetwork network() {
    return network;
  }

  GossipMembership membership() {
    return membership;
  }

  MembershipService service() {
    return service;
  }

  /** Returns whether the settings name no seed other than this instance. */
  boolean isAlone() {
    return settings.seeds().stream().allMatch(seed -> text(seed).equals(text(network.address())));
  }

  /** Returns a relay that keeps a replica up to date; the caller starts and closes it. */
  ConfigurationRelay createRelay(ObjectStore store, ConfigurationReplica replica) {
    ConfigurationRelay relay =
        new ConfigurationRelay(
            settings.instance(),
            settings.domain(),
            store,
            replica,
            network,
            membership,
            clock,
            log);
    content = relay::heartbeatContent;
    service.addListener(relay::receive);
    return relay;
  }

  /**
   * Returns an exchange of endpoint state and live request counts with peers; the caller starts it.
   */
  PeerExchange createExchange(EndpointTable endpoints, LivePressureExchange livePressure) {
    PeerExchange exchange =
        new PeerExchange(settings.instance(), network, membership, endpoints, livePressure, log);
    Supplier<HeartbeatContent> other = content;
    content = () -> other.get().withLiveCounts(exchange::liveCounts);
    service.addListener(exchange::receive);
    return exchange;
  }

  void start() {
    network.start(membership);
    service.start();
  }

  /** Notifies the other instances that this one is leaving. */
  void leave() {
    service.announceLeaving();
  }

  @Override
  public void close() {
    service.close();
    network.close();
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
