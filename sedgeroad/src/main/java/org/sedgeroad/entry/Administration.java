package org.sedgeroad.entry;

import java.util.List;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.burn.BurnRecords;
import org.sedgeroad.command.AdministrationListener;
import org.sedgeroad.command.CommandExecutor;
import org.sedgeroad.command.CommandParts;
import org.sedgeroad.command.OperatorToken;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.job.JobService;
import org.sedgeroad.limit.VoteService;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.settings.DomainSetting;
import org.sedgeroad.settings.Settings;
import org.sedgeroad.store.StoreWriter;

/** Wires the administration API of an instance. */
final class Administration {
  private Administration() {}

  static AdministrationListener create(
      Settings settings,
      StoreWriter writer,
      ConfigurationReplica replica,
      EndpointTable endpoints,
      FleetReader fleet,
      BurnRecords burn,
      EventLog log) {
    List<String> domains = settings.domains().stream().map(DomainSetting::domain).toList();
    VoteService votes =
        new VoteService(
            writer,
            fleet::records,
            domains.isEmpty() ? List.of(settings.domain()) : domains,
            MonotonicClock.SYSTEM);
    CommandParts parts =
        new CommandParts(
            writer,
            replica,
            JobService.of(writer),
            endpoints,
            votes::vote,
            fleet::limitVersions,
            fleet::instances);
    return new AdministrationListener(
        settings.adminAddress(),
        new CommandExecutor(parts),
        burn::report,
        OperatorToken.of(settings.operatorTokenFile()),
        log);
  }
}
