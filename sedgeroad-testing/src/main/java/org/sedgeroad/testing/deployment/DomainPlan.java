package org.sedgeroad.testing.deployment;

/**
 * Size of one failure domain of a deployment.
 *
 * @param name name of the failure domain
 * @param region name of its region
 * @param entries number of entry instances
 * @param engines number of model engines
 * @param services number of plain service endpoints
 */
public record DomainPlan(String name, String region, int entries, int engines, int services) {}
