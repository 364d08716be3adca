package org.sedgeroad.peer;

import java.util.List;

/**
 * Settings of a gossip membership.
 *
 * @param instance name of this instance
 * @param domain failure domain of this instance
 * @param address peer address of this instance, {@code IP:PORT}
 * @param incarnation start time of this process in milliseconds since 1970
 * @param seeds peer addresses to contact first, {@code IP:PORT}
 * @param domains all failure domains of the deployment
 */
public record GossipSettings(
    String instance,
    String domain,
    String address,
    long incarnation,
    List<String> seeds,
    List<String> domains) {

  /** Copies the lists. */
  public GossipSettings {
    seeds = List.copyOf(seeds);
    domains = List.copyOf(domains);
  }
}
