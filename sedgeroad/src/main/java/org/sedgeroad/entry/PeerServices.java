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
import org.sedgeroad.settings.EntrySettings;
import org.sedgeroad.store.ObjectStore;

/** The peer network of one instance, its membership and the services that depend on both. */
final class PeerServices implements AutoCloseable {
  private final EntrySettings settings;
  private final MonotonicClock clock;
  private final EventLog log;
  private final TcpPeerNetwork network;
  private final GossipMembership membership;
  private final MembershipService membershipService;
  private volatile Supplier<HeartbeatContent> heartbeatContent = () -> HeartbeatContent.EMPTY;

  private PeerServices(EntrySettings settings, MonotonicClock clock, EventLog log)
      throws IOException {
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    this.network = TcpPeerNetwork.bind(settings.instance(), settings.peerAddress(), clock, log);
    this.membership =
        GossipMembership.of(
            new GossipSettings(
                settings.instance(),
                settings.domain(),
                toText(network.address()),
                System.currentTimeMillis(),
                settings.seeds().stream().map(PeerServices::toText).toList(),
                settings.domains().stream().map(DomainSetting::domain).toList()));
    this.membershipService =
        new MembershipService(
            settings.instance(), membership, network, () -> heartbeatContent.get(), clock, log);
  }

  /**
   * Creates the network and binds the peer address of the settings.
   *
   * @throws UncheckedIOException if the address can't be bound
   */
  static PeerServices of(EntrySettings settings, MonotonicClock clock, EventLog log) {
    try {
      return new PeerServices(settings, clock, log);
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

  MembershipService membershipService() {
    return membershipService;
  }

  /** Returns whether the seeds of the settings are empty or contain only this instance. */
  boolean hasAtMostItselfAsSeed() {
    return settings.seeds().stream()
        .allMatch(seed -> toText(seed).equals(toText(network.address())));
  }

  /**
   * Returns a relay that keeps a replica up to date; the caller starts and closes it. Must be
   * called before {@link #createEndpointStateExchange}, since it replaces the whole content of the
   * heartbeats; live request counts that were added before would be lost.
   */
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
    heartbeatContent = relay::heartbeatContent;
    membershipService.addListener(relay::receive);
    return relay;
  }

  /**
   * Returns an exchange of endpoint state and live request counts with peers; the caller starts it.
   * Adds the live request counts to the heartbeats, so it must be called after {@link
   * #createRelay}.
   */
  EndpointStateExchange createEndpointStateExchange(
      EndpointTable endpoints, LivePressureExchange livePressure) {
    EndpointStateExchange exchange =
        new EndpointStateExchange(
            settings.instance(), network, membership, endpoints, livePressure, log);
    Supplier<HeartbeatContent> previousContent = heartbeatContent;
    heartbeatContent = () -> previousContent.get().withLiveCounts(exchange::liveCounts);
    membershipService.addListener(exchange::receive);
    return exchange;
  }

  void start() {
    network.start(membership);
    membershipService.start();
  }

  /** Notifies the other instances that this one is leaving. */
  void leave() {
    membershipService.announceLeaving();
  }

  @Override
  public void close() {
    membershipService.close();
    network.close();
  }

  private static String toText(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
