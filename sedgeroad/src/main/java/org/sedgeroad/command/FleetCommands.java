package org.sedgeroad.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.sedgeroad.Endpoint;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.store.StoredObject;

/** Executes statements about endpoints, instances and quarantines. */
final class FleetCommands {
  private final ObjectChanges changes;
  private final ConfigurationReplica replica;
  private final EndpointTable endpoints;
  private final KnownInstances instances;

  FleetCommands(
      ObjectChanges changes,
      ConfigurationReplica replica,
      EndpointTable endpoints,
      KnownInstances instances) {
    this.changes = changes;
    this.replica = replica;
    this.endpoints = endpoints;
    this.instances = instances;
  }

  CommandResult listEndpoints(Statement.ShowEndpoints statement) {
    Map<String, EndpointView> usableByName = new TreeMap<>();
    endpoints.usableEndpoints().forEach(view -> usableByName.put(view.endpoint().name(), view));
    TableBuilder table =
        new TableBuilder(
            "endpoint", "service", "domain", "region", "state", "slots", "live", "batch");
    for (Endpoint endpoint : endpoints.endpoints()) {
      if (statement.service().map(endpoint.service()::equals).orElse(true)) {
        EndpointView view = usableByName.get(endpoint.name());
        table.add(
            endpoint.name(),
            endpoint.service(),
            endpoint.domain(),
            endpoint.region(),
            state(endpoint, view != null),
            view == null ? "" : view.slots(),
            view == null ? "" : view.live(),
            view == null ? "" : view.batch());
      }
    }
    return table.toResult();
  }

  CommandResult listInstances() {
    TableBuilder table = new TableBuilder("instance", "domain", "state");
    for (InstanceStatus instance : instances.instances()) {
      boolean drained = isDrained(Statement.DrainTarget.INSTANCE, instance.name());
      table.add(instance.name(), instance.domain(), drained ? "drained" : instance.state());
    }
    return table.toResult();
  }

  CommandResult drain(Statement.Drain statement) {
    String target = Tokens.toText(statement.target());
    String name = Kinds.drainName(target, statement.name());
    if (!statement.drained()) {
      return changes.delete(
          Kinds.DRAINS, name, OptionalLong.empty(), Table.of("in_use", statement.name()));
    }
    if (!exists(statement)) {
      return CommandResult.refused(
          "no " + target + " '" + statement.name() + "'; SHOW " + target + "S lists them");
    }
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("target", target);
    spec.put("name", statement.name());
    return changes.create(
        Kinds.DRAINS, name, spec, object -> Table.of("drained", statement.name()));
  }

  CommandResult listQuarantines() {
    TableBuilder table = new TableBuilder("fingerprint", "version", "deadline");
    for (StoredObject object : replica.list(Kinds.QUARANTINES)) {
      table.add(object.name(), object.version(), object.spec().path("deadline").asText());
    }
    return table.toResult();
  }

  CommandResult liftQuarantine(Statement.LiftQuarantine statement) {
    return changes.delete(
        Kinds.QUARANTINES,
        statement.fingerprint(),
        OptionalLong.empty(),
        Table.of("lifted", statement.fingerprint()));
  }

  private boolean exists(Statement.Drain statement) {
    return switch (statement.target()) {
      case ENDPOINT -> endpoints.find(statement.name()).isPresent();
      case INSTANCE ->
          instances.instances().stream()
              .anyMatch(instance -> instance.name().equals(statement.name()));
    };
  }

  private String state(Endpoint endpoint, boolean usable) {
    if (isDrained(Statement.DrainTarget.ENDPOINT, endpoint.name())) {
      return "drained";
    }
    String registeredState = Tokens.toText(endpoint.state());
    return usable || !registeredState.equals("live") ? registeredState : "out of use";
  }

  private boolean isDrained(Statement.DrainTarget target, String name) {
    return replica.find(Kinds.DRAINS, Kinds.drainName(Tokens.toText(target), name)).isPresent();
  }
}
