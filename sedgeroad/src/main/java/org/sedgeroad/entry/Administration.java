package org.sedgeroad.entry;

import org.sedgeroad.burn.BurnRecords;
import org.sedgeroad.command.AdministrationListener;
import org.sedgeroad.command.CommandDependencies;
import org.sedgeroad.command.CommandExecutor;
import org.sedgeroad.command.OperatorToken;
import org.sedgeroad.command.VoteAction;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.job.JobService;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.settings.EntrySettings;
import org.sedgeroad.store.StoreWriter;

/** Creates the administration API of an instance. */
final class Administration {
  private Administration() {}

  static AdministrationListener create(
      EntrySettings settings,
      StoreWriter writer,
      ConfigurationReplica replica,
      EndpointTable endpoints,
      InstanceStatusReader instances,
      VoteAction votes,
      BurnRecords burn,
      EventLog log) {
    CommandDependencies dependencies =
        new CommandDependencies(
            writer,
            replica,
            JobService.of(writer),
            endpoints,
            votes,
            instances::readLimitVersions,
            instances::readInstances);
    return new AdministrationListener(
        settings.adminAddress(),
        new CommandExecutor(dependencies),
        burn::report,
        OperatorToken.of(settings.operatorTokenFile()),
        log);
  }
}
