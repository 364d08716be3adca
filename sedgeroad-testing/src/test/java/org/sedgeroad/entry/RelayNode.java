package org.sedgeroad.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.peer.GossipMembership;
import org.sedgeroad.peer.GossipSettings;
import org.sedgeroad.peer.MembershipService;
import org.sedgeroad.peer.PeerTraffic;
import org.sedgeroad.peer.TcpPeerNetwork;
import org.sedgeroad.store.ObjectStore;

/** Configuration relay of one instance with the network, membership and replica that it uses. */
final class RelayNode implements AutoCloseable {
  final String name;
  final ConfigurationReplica replica = new ConfigurationReplica();
  final TcpPeerNetwork network;
  final GossipMembership membership;
  final ConfigurationRelay relay;

  /** Time in nanoseconds of the monotonic clock at which each version was applied. */
  final Map<Long, Long> appliedAt = new ConcurrentHashMap<>();

  private final MembershipService service;

  RelayNode(String domain, int number, ObjectStore store, List<String> seeds, List<String> domains)
      throws IOException {
    MonotonicClock clock = MonotonicClock.SYSTEM;
    name = domain + "-" + number;
    EventLog log = EventLog.of(name);
    network =
        TcpPeerNetwork.bind(
            name, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), clock, log);
    membership =
        GossipMembership.of(
            new GossipSettings(
                name, domain, address(), System.currentTimeMillis(), seeds, domains));
    relay = new ConfigurationRelay(name, domain, store, replica, network, membership, clock, log);
    service = new MembershipService(name, membership, network, relay::heartbeatContent, clock, log);
    service.addListener(relay::receive);
    replica.addListener(object -> appliedAt.put(object.version(), clock.nanos()));
    network.start(membership);
    service.start();
    // Without seeds there are no peers to wait for, and the relay reads the store at once.
    relay.start(seeds.isEmpty());
  }

  String address() {
    return "127.0.0.1:" + network.address().getPort();
  }

  long sentBytes(String messageClass) {
    return network.traffic().stream()
        .filter(traffic -> traffic.messageClass().equals(messageClass))
        .mapToLong(PeerTraffic::sentBytes)
        .sum();
  }

  /** Stops the node without notifying its peers, like a crash. */
  @Override
  public void close() {
    relay.close();
    service.close();
    network.close();
  }
}
