package org.sedgeroad.settings;

/**
 * A failure domain and its region.
 *
 * @param domain name of the failure domain
 * @param region name of its region
 */
public record DomainSetting(String domain, String region) {}
