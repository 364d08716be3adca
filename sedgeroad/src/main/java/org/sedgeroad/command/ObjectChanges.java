package org.sedgeroad.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Creates, changes and deletes objects in the store; every operation is idempotent.
 *
 * <p>An operation whose effect is already in force succeeds. One that conflicts with another
 * operator's write is refused, and the result describes the object in force. Calls block;
 * thread-safe.
 */
final class ObjectChanges {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_ATTEMPTS = 10;
  private static final List<String> WRITER_FIELDS = List.of("writer", "write_number");

  private final StoreWriter writer;

  ObjectChanges(StoreWriter writer) {
    this.writer = writer;
  }

  /** Reads an object from the store. */
  StoreResult<StoredObject> get(String kind, String name) {
    return writer.store().get(kind, name);
  }

  /** Creates an object; succeeds as well if it exists with the same content. */
  CommandResult create(
      String kind, String name, ObjectNode spec, Function<StoredObject, Table> toTable) {
    WriteOutcome outcome = writer.create(kind, name, spec);
    if (outcome instanceof WriteOutcome.Written written) {
      return CommandResult.done(toTable.apply(written.object()));
    }
    if (outcome instanceof WriteOutcome.Lost lost) {
      if (lost.current() != null && hasSameContent(lost.current().spec(), spec)) {
        return CommandResult.done(toTable.apply(lost.current()));
      }
      return conflict(kind, name, "exists already with other content", lost.current());
    }
    return failedWrite(outcome);
  }

  /**
   * Changes an object. The subject is the part of the object that the statement is about: unless a
   * version is given, a change by another writer between reading and writing is a conflict only if
   * it affects the subject.
   *
   * @param found result of reading the object
   * @param version version that the object must still have, empty for any
   * @param subject extracts the subject from a spec
   * @param change changes a copy of the spec and returns the new spec
   * @param toTable converts the object in force to the table of the result
   */
  CommandResult change(
      StoreResult<StoredObject> found,
      OptionalLong version,
      Function<JsonNode, JsonNode> subject,
      UnaryOperator<ObjectNode> change,
      Function<StoredObject, Table> toTable) {
    StoreResult<StoredObject> latest = found;
    JsonNode firstSubject = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (!(latest instanceof StoreResult.Done<StoredObject> done)) {
        return unavailable(latest);
      }
      StoredObject current = done.value();
      ObjectNode changed = change.apply(((ObjectNode) current.spec()).deepCopy());
      if (hasSameContent(changed, current.spec())) {
        return CommandResult.done(toTable.apply(current));
      }
      JsonNode currentSubject = withoutWriterFields(subject.apply(current.spec()));
      if (version.isPresent() && version.getAsLong() != current.version()) {
        return conflict(current.kind(), current.name(), "has another version", current);
      }
      if (firstSubject != null && !firstSubject.equals(currentSubject)) {
        return conflict(current.kind(), current.name(), "was changed at the same time", current);
      }
      firstSubject = currentSubject;
      WriteOutcome outcome =
          writer.update(current.kind(), current.name(), current.version(), changed);
      if (outcome instanceof WriteOutcome.Written written) {
        return CommandResult.done(toTable.apply(written.object()));
      }
      if (!(outcome instanceof WriteOutcome.Lost lost)) {
        return failedWrite(outcome);
      }
      if (lost.current() == null) {
        return conflict(current.kind(), current.name(), "was deleted at the same time", null);
      }
      latest = new StoreResult.Done<>(lost.current());
    }
    return CommandResult.refused("the object changes too often; send the statement again");
  }

  /** Deletes an object; succeeds as well if it does not exist. */
  CommandResult delete(String kind, String name, OptionalLong version, Table resultTable) {
    StoreResult<StoredObject> latest = get(kind, name);
    long firstVersion = 0;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (latest instanceof StoreResult.Absent) {
        return CommandResult.done(resultTable);
      }
      if (!(latest instanceof StoreResult.Done<StoredObject> done)) {
        return firstVersion == 0
            ? unavailable(latest)
            : new CommandResult.OutcomeUnknown(reason(latest));
      }
      StoredObject current = done.value();
      if (version.isPresent() && version.getAsLong() != current.version()) {
        return conflict(kind, name, "has another version", current);
      }
      if (firstVersion != 0 && firstVersion != current.version()) {
        return conflict(kind, name, "was changed at the same time", current);
      }
      firstVersion = current.version();
      StoreResult<StoredObject> deleted = writer.store().delete(kind, name, firstVersion);
      if (deleted instanceof StoreResult.Done || deleted instanceof StoreResult.Absent) {
        return CommandResult.done(resultTable);
      }
      boolean mayBeDeleted =
          deleted instanceof StoreResult.Unknown || deleted instanceof StoreResult.Conflict;
      if (!mayBeDeleted) {
        // An earlier attempt whose response was lost may have deleted the object.
        return attempt == 0
            ? unavailable(deleted)
            : new CommandResult.OutcomeUnknown(reason(deleted));
      }
      latest = get(kind, name);
    }
    return new CommandResult.OutcomeUnknown("the answers of the store are lost");
  }

  /** Converts the outcome of a write that had no effect, or that may have had one. */
  static CommandResult failedWrite(WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.NotWritten notWritten) {
      return new CommandResult.Unavailable(notWritten.reason(), notWritten.retryAt());
    }
    return new CommandResult.OutcomeUnknown(
        outcome instanceof WriteOutcome.Unknown unknown ? unknown.reason() : outcome.toString());
  }

  /** Converts the result of a store call that failed without an effect. */
  static CommandResult unavailable(StoreResult<?> result) {
    Instant retryAt =
        result instanceof StoreResult.Throttled<?> throttled
            ? throttled.retryAt()
            : Instant.now().plusSeconds(1);
    return new CommandResult.Unavailable(reason(result), retryAt);
  }

  private static String reason(StoreResult<?> result) {
    if (result instanceof StoreResult.Unavailable<?> unavailable) {
      return "the store is not available: " + unavailable.reason();
    }
    if (result instanceof StoreResult.Unknown<?> unknown) {
      return "the store did not answer: " + unknown.reason();
    }
    return result instanceof StoreResult.Throttled<?>
        ? "the store refuses calls by rate"
        : result.toString();
  }

  /**
   * Returns a refusal that describes the object in force.
   *
   * @param current the object, null if it does not exist
   */
  static CommandResult conflict(String kind, String name, String problem, StoredObject current) {
    String inForce =
        current == null
            ? kind + "/" + name + " does not exist"
            : kind
                + "/"
                + name
                + " version "
                + current.version()
                + " written by "
                + current.spec().path("writer").asText("an unknown writer")
                + ": "
                + withoutWriterFields(current.spec());
    return CommandResult.conflict(kind + "/" + name + " " + problem, inForce);
  }

  private static boolean hasSameContent(JsonNode left, JsonNode right) {
    return withoutWriterFields(left).equals(withoutWriterFields(right));
  }

  /**
   * Returns a copy without the fields that each writer adds. The copy is serialized and parsed
   * again, because a number that is a long node before a write can be an int node when the object
   * is read from the store, and the two nodes are not equal.
   */
  private static JsonNode withoutWriterFields(JsonNode node) {
    JsonNode content =
        node instanceof ObjectNode object ? object.deepCopy().without(WRITER_FIELDS) : node;
    try {
      return content.isMissingNode() ? content : MAPPER.readTree(content.toString());
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("cannot parse JSON that was just serialized", impossible);
    }
  }
}
