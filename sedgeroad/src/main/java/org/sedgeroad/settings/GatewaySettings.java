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
 * @param clientAddress address on which clients are served
 * @param readinessAddress address on which the load balancer's readiness checks are answered
 * @param reportAddress UDP address on which load reports of other instances are received
 * @param exchangeAddress TCP address on which other instances read jobs
 * @param metricsAddress address on which the metrics are served
 * @param storeAddress address of the platform's store
 * @param storeTimeoutMillis maximum wait for one response of the store, in milliseconds
 * @param storeObjectBytes largest size of an object of the store, in bytes
 * @param connectTimeoutMillis maximum wait for a connection to an endpoint, in milliseconds
 * @param keepJobMillis time from the acceptance of a job after which it may be deleted, once it has
 *     finished, in milliseconds
 * @param stopNoticeMillis time that the load balancer is given to notice a planned stop, in
 *     milliseconds
 * @param stopTimeoutMillis maximum duration of a planned stop before connections are closed, in
 *     milliseconds
 * @param access settings of the access control
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
    long storeObjectBytes,
    long connectTimeoutMillis,
    long keepJobMillis,
    long stopNoticeMillis,
    long stopTimeoutMillis,
    AccessSettings access) {

  /** Copies the list of failure domains. */
  public GatewaySettings {
    domains = List.copyOf(domains);
  }

  /**
   * Returns a copy with those values of {@code next} that can change while an instance is running:
   * the failure domains and the times of a planned stop.
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
        storeObjectBytes,
        connectTimeoutMillis,
        keepJobMillis,
        next.stopNoticeMillis,
        next.stopTimeoutMillis,
        access);
  }

  /** Returns the region of a failure domain, or the name of the domain if it is not configured. */
  public String region(String name) {
    return domains.stream()
        .filter(domain -> domain.domain().equals(name))
        .map(DomainSetting::region)
        .findFirst()
        .orElse(name);
  }
}
