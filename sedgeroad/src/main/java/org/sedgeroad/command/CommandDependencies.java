package org.sedgeroad.command;

import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.job.JobService;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.store.StoreWriter;

/**
 * Dependencies of a {@link CommandExecutor}.
 *
 * @param writer writes objects to the store and gives access to it
 * @param replica this instance's copy of the configuration, read for lists
 * @param jobs submits, finds and cancels batch jobs
 * @param endpoints registered endpoints
 * @param votes puts voted limits in force
 * @param appliedVersions versions of the limits that the instances apply
 * @param instances known entry instances
 */
public record CommandDependencies(
    StoreWriter writer,
    ConfigurationReplica replica,
    JobService jobs,
    EndpointTable endpoints,
    VoteAction votes,
    AppliedLimitVersions appliedVersions,
    KnownInstances instances) {}
