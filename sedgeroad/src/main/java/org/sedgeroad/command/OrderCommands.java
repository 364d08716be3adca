package org.sedgeroad.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.configuration.Model;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/**
 * Executes statements about orders to endpoints: stores and lists orders. In docs/design.md, a
 * controller claims an order and executes it; this code has no controller.
 */
final class OrderCommands {
  private static final String LOAD_MODEL = "load-model";
  private static final Set<String> ENDED_STATES = Set.of("done", "failed");

  private final ObjectChanges changes;
  private final ConfigurationReplica replica;
  private final EndpointTable endpoints;

  OrderCommands(ObjectChanges changes, ConfigurationReplica replica, EndpointTable endpoints) {
    this.changes = changes;
    this.replica = replica;
    this.endpoints = endpoints;
  }

  CommandResult load(Statement.OrderLoad statement) {
    if (endpoints.find(statement.endpoint()).isEmpty()) {
      return CommandResult.refused(
          "no endpoint '" + statement.endpoint() + "'; SHOW ENDPOINTS lists them");
    }
    if (Model.find(replica, statement.model()).isEmpty()) {
      return ModelCommands.noSuchModel(statement.model());
    }
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("action", LOAD_MODEL);
    spec.put("model", statement.model());
    spec.put("state", "waiting");
    StoreResult<StoredObject> found = changes.get(Kinds.ORDERS, statement.endpoint());
    if (found instanceof StoreResult.Absent) {
      return changes.create(Kinds.ORDERS, statement.endpoint(), spec, OrderCommands::toTable);
    }
    if (!(found instanceof StoreResult.Done<StoredObject> done)) {
      return ObjectChanges.unavailable(found);
    }
    return replace(done.value(), statement, spec);
  }

  private CommandResult replace(
      StoredObject current, Statement.OrderLoad statement, ObjectNode spec) {
    JsonNode order = current.spec();
    boolean sameOrder =
        order.path("action").asText().equals(LOAD_MODEL)
            && order.path("model").asText().equals(statement.model());
    if (sameOrder && !order.path("state").asText().equals("failed")) {
      return CommandResult.done(toTable(current));
    }
    boolean open = !ENDED_STATES.contains(order.path("state").asText());
    if (open && statement.version().isEmpty()) {
      return ObjectChanges.conflict(
          Kinds.ORDERS,
          current.name(),
          "holds another order that has not ended; IF VERSION n replaces it",
          current);
    }
    OptionalLong version =
        statement.version().isPresent() ? statement.version() : OptionalLong.of(current.version());
    return changes.change(
        new StoreResult.Done<>(current),
        version,
        Function.identity(),
        old -> spec,
        OrderCommands::toTable);
  }

  CommandResult list() {
    TableBuilder table = newTable();
    replica.list(Kinds.ORDERS).forEach(object -> addRow(table, object));
    return table.toResult();
  }

  private static TableBuilder newTable() {
    return new TableBuilder("endpoint", "action", "model", "state", "version");
  }

  private static Table toTable(StoredObject object) {
    return addRow(newTable(), object).build();
  }

  private static TableBuilder addRow(TableBuilder table, StoredObject object) {
    return table.add(
        object.name(),
        object.spec().path("action").asText(),
        object.spec().path("model").asText(),
        object.spec().path("state").asText(),
        object.version());
  }
}
