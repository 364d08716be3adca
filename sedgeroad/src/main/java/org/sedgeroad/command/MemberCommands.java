package org.sedgeroad.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.sedgeroad.api.Authenticator;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.limit.MemberLimits;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/**
 * Executes statements about members. Keys are stored as hashes and never shown or logged; tables
 * show the first digits of the hashes.
 */
final class MemberCommands {
  private static final int SHOWN_HASH_DIGITS = 8;

  private final ObjectChanges changes;
  private final ConfigurationReplica replica;

  MemberCommands(ObjectChanges changes, ConfigurationReplica replica) {
    this.changes = changes;
    this.replica = replica;
  }

  CommandResult create(Statement.CreateMember statement) {
    if (statement.member().equals(MemberLimits.DEFAULT_NAME)) {
      return CommandResult.refused(
          "the name 'default' stands for the limits of members without limits of their own");
    }
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    setKeys(spec, hashAll(statement.keys()));
    return changes.create(Kinds.MEMBERS, statement.member(), spec, MemberCommands::toTable);
  }

  CommandResult change(Statement.ChangeMember statement) {
    StoreResult<StoredObject> found = changes.get(Kinds.MEMBERS, statement.member());
    if (found instanceof StoreResult.Absent) {
      return noSuchMember(statement.member());
    }
    Set<String> givenHashes = hashAll(statement.keys());
    return changes.change(
        found,
        statement.version(),
        Function.identity(),
        spec -> {
          Set<String> storedHashes = new TreeSet<>();
          spec.path("keys").forEach(key -> storedHashes.add(key.asText()));
          switch (statement.change()) {
            case ADD -> storedHashes.addAll(givenHashes);
            case REMOVE -> storedHashes.removeAll(givenHashes);
            case REPLACE -> {
              storedHashes.clear();
              storedHashes.addAll(givenHashes);
            }
            default -> throw new IllegalArgumentException(statement.change().name());
          }
          return setKeys(spec, storedHashes);
        },
        MemberCommands::toTable);
  }

  CommandResult drop(Statement.DropMember statement) {
    return changes.delete(
        Kinds.MEMBERS,
        statement.member(),
        statement.version(),
        Table.of("dropped", statement.member()));
  }

  CommandResult show(Statement.ShowMember statement) {
    StoreResult<StoredObject> found = changes.get(Kinds.MEMBERS, statement.member());
    if (found instanceof StoreResult.Done<StoredObject> done) {
      return CommandResult.done(toTable(done.value()));
    }
    return found instanceof StoreResult.Absent
        ? noSuchMember(statement.member())
        : ObjectChanges.unavailable(found);
  }

  CommandResult list() {
    TableBuilder table = newTable();
    for (StoredObject object : replica.list(Kinds.MEMBERS)) {
      addRow(table, object);
    }
    return table.toResult();
  }

  static CommandResult noSuchMember(String member) {
    return CommandResult.refused(
        "no member '" + member + "'; SHOW MEMBERS lists them, CREATE MEMBER creates one");
  }

  private static TableBuilder newTable() {
    return new TableBuilder("member", "version", "key_hashes");
  }

  private static Table toTable(StoredObject object) {
    return addRow(newTable(), object).build();
  }

  private static TableBuilder addRow(TableBuilder table, StoredObject object) {
    List<String> hashes = new ArrayList<>();
    for (JsonNode key : object.spec().path("keys")) {
      String hash = key.asText();
      hashes.add(hash.substring(0, Math.min(SHOWN_HASH_DIGITS, hash.length())));
    }
    return table.add(object.name(), object.version(), String.join(" ", hashes));
  }

  private static Set<String> hashAll(List<String> keys) {
    Set<String> hashes = new TreeSet<>();
    keys.forEach(key -> hashes.add(Authenticator.hashKey(key)));
    return hashes;
  }

  private static ObjectNode setKeys(ObjectNode spec, Set<String> hashes) {
    ArrayNode keys = spec.putArray("keys");
    hashes.forEach(keys::add);
    return spec;
  }
}
