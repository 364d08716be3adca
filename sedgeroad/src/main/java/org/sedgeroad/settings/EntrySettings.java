package org.sedgeroad.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;

/**
 * Settings of an entry instance. No component is null.
 *
 * @param instance unique name of the instance
 * @param domain failure domain of the instance
 * @param region region of the failure domain
 * @param callerAddress address on which callers are served
 * @param adminAddress address on which operators are served
 * @param peerAddress address on which connections of peers are accepted
 * @param seeds addresses of the peers that the instance connects to first
 * @param domains all failure domains of the deployment with their regions
 * @param storeAddress address of the platform's object API
 * @param instanceListAddress address of the platform's instance list
 * @param storeTimeoutMillis maximum wait for one response of the store, in milliseconds
 * @param leaseMillis duration of a lease, in milliseconds
 * @param routing name of the routing policy
 * @param batch name of the batch policy
 * @param hedging name of the hedging policy
 * @param spill name of the spill policy
 * @param linkBytesPerSecond capacity of each link to another region, in bytes per second each way,
 *     shared by all instances of this region
 * @param ioThreads number of I/O threads
 * @param workerThreads number of worker threads; limits the live requests served at the same time
 * @param maximumBodyBytes maximum size of a request body other than an upload, in bytes
 * @param requestTimeoutMillis maximum duration of a live request, in milliseconds
 * @param stopNoticeMillis time that the load balancer is given to notice a planned stop, in
 *     milliseconds
 * @param stopTimeoutMillis maximum duration of a planned stop, in milliseconds
 * @param operatorTokenFile path of the file with the operators' token, empty to refuse all commands
 */
public record EntrySettings(
    String instance,
    String domain,
    String region,
    InetSocketAddress callerAddress,
    InetSocketAddress adminAddress,
    InetSocketAddress peerAddress,
    List<InetSocketAddress> seeds,
    List<DomainSetting> domains,
    URI storeAddress,
    URI instanceListAddress,
    long storeTimeoutMillis,
    long leaseMillis,
    String routing,
    String batch,
    String hedging,
    String spill,
    long linkBytesPerSecond,
    int ioThreads,
    int workerThreads,
    long maximumBodyBytes,
    long requestTimeoutMillis,
    long stopNoticeMillis,
    long stopTimeoutMillis,
    Optional<String> operatorTokenFile) {

  /** Copies the lists of seeds and failure domains. */
  public EntrySettings {
    seeds = List.copyOf(seeds);
    domains = List.copyOf(domains);
  }
}
