package org.sedgeroad.settings;

/**
 * A failure domain of the deployment and its region.
 *
 * @param domain name of the failure domain
 * @param region name of its region
 */
public record DomainSetting(String domain, String region) {}
