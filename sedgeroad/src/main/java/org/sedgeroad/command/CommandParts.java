package org.sedgeroad.command;

import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.job.JobService;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.store.StoreWriter;

/**
 * What a {@link CommandExecutor} works with.
 *
 * @param writer writer to the store
 * @param replica this instance's copy of the configuration, for lists
 * @param jobs batch jobs
 * @param endpoints endpoints
 * @param votes puts limits in force
 * @param appliedVersions versions of the limits that the instances apply
 * @param instances known instances
 */
public record CommandParts(
    StoreWriter writer,
    ConfigurationReplica replica,
    JobService jobs,
    EndpointTable endpoints,
    VoteAction votes,
    AppliedVersions appliedVersions,
    InstancesView instances) {}
