package org.sedgeroad.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Function;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.configuration.Model;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/** Executes statements about models and plain services. */
final class ModelCommands {
  private final ObjectChanges changes;
  private final ConfigurationReplica replica;

  ModelCommands(ObjectChanges changes, ConfigurationReplica replica) {
    this.changes = changes;
    this.replica = replica;
  }

  CommandResult create(Statement.CreateModel statement) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("service", statement.model());
    spec.put("kind", "engine");
    statement.options().writeTo(spec);
    return changes.create(Kinds.MODELS, statement.model(), spec, ModelCommands::toTable);
  }

  CommandResult change(Statement.ChangeModel statement) {
    StoreResult<StoredObject> found = changes.get(Kinds.MODELS, statement.model());
    if (found instanceof StoreResult.Absent) {
      return noSuchModel(statement.model());
    }
    return changes.change(
        found,
        statement.version(),
        Function.identity(),
        spec -> {
          statement.options().writeTo(spec);
          return spec;
        },
        ModelCommands::toTable);
  }

  CommandResult drop(Statement.DropModel statement) {
    return changes.delete(
        Kinds.MODELS,
        statement.model(),
        statement.version(),
        Table.of("dropped", statement.model()));
  }

  CommandResult show(Statement.ShowModel statement) {
    StoreResult<StoredObject> found = changes.get(Kinds.MODELS, statement.model());
    if (found instanceof StoreResult.Done<StoredObject> done) {
      return CommandResult.done(toTable(done.value()));
    }
    return found instanceof StoreResult.Absent
        ? noSuchModel(statement.model())
        : ObjectChanges.unavailable(found);
  }

  CommandResult list() {
    TableBuilder table = newTable();
    for (StoredObject object : replica.list(Kinds.MODELS)) {
      addRow(table, object);
    }
    return table.toResult();
  }

  static CommandResult noSuchModel(String model) {
    return CommandResult.refused(
        "no model '" + model + "'; SHOW MODELS lists them, CREATE MODEL creates one");
  }

  private static TableBuilder newTable() {
    return new TableBuilder("model", "version", "service", "kind", "path", "slots", "fencing");
  }

  private static Table toTable(StoredObject object) {
    return addRow(newTable(), object).build();
  }

  private static TableBuilder addRow(TableBuilder table, StoredObject object) {
    Model model = Model.fromSpec(object.name(), object.spec());
    return table.add(
        model.name(),
        object.version(),
        model.service(),
        model.plain() ? "plain" : "engine",
        model.pathPrefix(),
        model.slots(),
        model.fencing() ? "on" : "off");
  }
}
