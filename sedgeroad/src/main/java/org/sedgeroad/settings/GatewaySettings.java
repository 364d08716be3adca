package org.sedgeroad.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

/**
 * Settings of a gateway instance. No component is null.
 *
 * @param instance unique name of the instance
 * @param domain failure domain of the instance
 * @param domains all failure domains with their regions
 * @param clientAddress where clients connect
 * @param readinessAddress where the balancer asks whether the instance is ready
 * @param reportAddress where load reports of other instances arrive, UDP
 * @param exchangeAddress where other instances read jobs, TCP
 * @param metricsAddress where metrics are read
 * @param storeAddress address of the platform's store
 * @param storeTimeoutMillis longest wait for one answer of the store, in milliseconds
 * @param connectTimeoutMillis longest wait for a connection, in milliseconds
 * @param keepJobMillis time for which a job stays readable after it was accepted, in milliseconds
 * @param stopNoticeMillis time that the balancer gets to notice a stop, in milliseconds
 * @param stopTimeoutMillis longest duration of a planned stop, in milliseconds
 */
public record GatewaySettings(
    String instance,
    String domain,
    List<DomainSetting> domains,
    InetSocketAddress clientAddress,
    InetSocketAddress readinessAddress,
    InetSocketAddress reportAddress,
    InetSocketAddress exchangeAddress,
    InetSocketAddress metricsAddress,
    URI storeAddress,
    long storeTimeoutMillis,
    long connectTimeoutMillis,
    long keepJobMillis,
    long stopNoticeMillis,
    long stopTimeoutMillis) {

  /** Copies the list. */
  public GatewaySettings {
    domains = List.copyOf(domains);
  }

  /**
   * Returns these settings with those of {@code next} that can change while an instance runs: the
   * failure domains and the times of a planned stop.
   */
  public GatewaySettings withReloaded(GatewaySettings next) {
    return new GatewaySettings(
        instance,
        domain,
        next.domains,
        clientAddress,
        readinessAddress,
        reportAddress,
        exchangeAddress,
        metricsAddress,
        storeAddress,
        storeTimeoutMillis,
        connectTimeoutMillis,
        keepJobMillis,
        next.stopNoticeMillis,
        next.stopTimeoutMillis);
  }

  /** Returns the region of a failure domain, the domain itself if it is not known. */
  public String region(String name) {
    return domains.stream()
        .filter(domain -> domain.domain().equals(name))
        .map(DomainSetting::region)
        .findFirst()
        .orElse(name);
  }
}
