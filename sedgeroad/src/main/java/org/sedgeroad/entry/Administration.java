package org.sedgeroad.entry;

import java.util.Map;
import org.sedgeroad.burn.BurnRecords;
import org.sedgeroad.command.AdministrationListener;
import org.sedgeroad.command.CommandExecutor;
import org.sedgeroad.command.CommandParts;
import org.sedgeroad.command.InstanceStatus;
import org.sedgeroad.command.OperatorToken;
import org.sedgeroad.command.VoteAction;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.job.JobService;
import org.sedgeroad.peer.MembershipView;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.settings.Settings;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;

/** Wires the administration API of an instance. */
final class Administration {
  private Administration() {}

  static AdministrationListener create(
      Settings settings,
      StoreWriter writer,
      ConfigurationReplica replica,
      EndpointTable endpoints,
      MembershipView membership,
      VoteAction votes,
      BurnRecords burn,
      EventLog log) {
    CommandParts parts =
        new CommandParts(
            writer,
            replica,
            JobService.of(writer),
            endpoints,
            votes,
            member -> Map.of(settings.instance(), appliedVersion(replica, member)),
            () ->
                membership.liveInstances().stream()
                    .map(name -> new InstanceStatus(name, settings.domain(), "live"))
                    .toList());
    return new AdministrationListener(
        settings.adminAddress(),
        new CommandExecutor(parts),
        burn::report,
        OperatorToken.of(settings.operatorTokenFile()),
        log);
  }

  private static long appliedVersion(ConfigurationReplica replica, String member) {
    return replica.find(Kinds.LIMITS, member).map(StoredObject::version).orElse(0L);
  }
}
