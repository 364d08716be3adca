package org.sedgeroad.entry;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.sedgeroad.Endpoint;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.job.ItemCounts;
import org.sedgeroad.job.Job;
import org.sedgeroad.job.JobState;
import org.sedgeroad.metric.Metrics;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.EndpointView;

/** Registers the gauges that read the state of an instance at each scrape. */
final class InstanceGauges {
  private InstanceGauges() {}

  static void register(
      Metrics metrics,
      ConfigurationReplica replica,
      EndpointTable endpoints,
      BooleanSupplier leaseHeld,
      BooleanSupplier ready,
      IntSupplier livePeers,
      IntSupplier activeRequests) {
    metrics.addGauge(
        "sedgeroad_lease_held", "1 while the lease is valid.", () -> toNumber(leaseHeld));
    metrics.addGauge("sedgeroad_ready", "1 while the instance is ready.", () -> toNumber(ready));
    metrics.addGauge(
        "sedgeroad_peers",
        "Live instances of the failure domain, this one included.",
        livePeers::getAsInt);
    metrics.addGauge(
        "sedgeroad_requests_active", "Requests in progress.", activeRequests::getAsInt);
    metrics.addGauge(
        "sedgeroad_jobs_open",
        "Jobs that have not ended, in all instances.",
        () -> openJobs(replica).size());
    metrics.addGauge(
        "sedgeroad_job_items_open",
        "Items of open jobs whose segment is not finished, in all instances.",
        () -> openJobs(replica).stream().mapToInt(InstanceGauges::openItems).sum());
    metrics.addGauge(
        "sedgeroad_endpoints",
        "Endpoints in the instance list.",
        "service",
        () -> countByService(endpoints.endpoints()));
    metrics.addGauge(
        "sedgeroad_endpoints_usable",
        "Endpoints that get new work from this instance.",
        "service",
        () ->
            countByService(
                endpoints.usableEndpoints().stream().map(EndpointView::endpoint).toList()));
    metrics.addGauge(
        "sedgeroad_configuration_version",
        "Highest version of each kind of configuration.",
        "kind",
        () -> versions(replica));
  }

  private static double toNumber(BooleanSupplier value) {
    return value.getAsBoolean() ? 1 : 0;
  }

  private static List<Job> openJobs(ConfigurationReplica replica) {
    return replica.list(Kinds.JOBS).stream()
        .map(object -> Job.fromSpec(object.name(), object.spec()))
        .filter(job -> job.state() == JobState.ACCEPTED)
        .toList();
  }

  private static int openItems(Job job) {
    ItemCounts counts = job.counts();
    return job.itemCount()
        - counts.done()
        - counts.failed()
        - counts.cancelled()
        - counts.unknown();
  }

  private static Map<String, Double> countByService(List<Endpoint> endpoints) {
    Map<String, Double> counts = new TreeMap<>();
    endpoints.forEach(endpoint -> counts.merge(endpoint.service(), 1.0, Double::sum));
    return counts;
  }

  private static Map<String, Double> versions(ConfigurationReplica replica) {
    Map<String, Double> versions = new TreeMap<>();
    Kinds.REPLICATED.forEach(kind -> versions.put(kind, (double) replica.highestVersion(kind)));
    return versions;
  }
}
