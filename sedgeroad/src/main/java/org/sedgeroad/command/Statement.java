package org.sedgeroad.command;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sedgeroad.job.ItemState;
import org.sedgeroad.job.JobState;
import org.sedgeroad.limit.LimitKind;

/** One statement of the operators' language; docs/COMMANDS.md gives the grammar. */
public sealed interface Statement {

  /** What a change of a member does with the given keys. */
  enum KeyChange {
    /** The keys are accepted in addition to the member's present keys. */
    ADD,
    /** The keys are no longer accepted. */
    REMOVE,
    /** The keys are the only ones accepted. */
    REPLACE
  }

  /** Kind of object that an operator can drain. */
  enum DrainTarget {
    /** An endpoint: gets no new work. */
    ENDPOINT,
    /** An entry instance: reports that it is not ready. */
    INSTANCE
  }

  /** Kind of object that can be listed without conditions. */
  enum ListTarget {
    /** Members. */
    MEMBERS,
    /** Models and plain services. */
    MODELS,
    /** Quarantined request fingerprints. */
    QUARANTINES,
    /** Entry instances. */
    INSTANCES,
    /** Orders to endpoints. */
    ORDERS
  }

  /**
   * Creates a member.
   *
   * @param member name
   * @param keys keys in plaintext
   */
  record CreateMember(String member, List<String> keys) implements Statement {}

  /**
   * Changes the keys of a member.
   *
   * @param member name
   * @param change what to do with the keys
   * @param keys keys in plaintext
   * @param version version that the member must still have, empty for any
   */
  record ChangeMember(String member, KeyChange change, List<String> keys, OptionalLong version)
      implements Statement {}

  /**
   * Deletes a member.
   *
   * @param member name
   * @param version version that the member must still have, empty for any
   */
  record DropMember(String member, OptionalLong version) implements Statement {}

  /**
   * Shows one member.
   *
   * @param member name
   */
  record ShowMember(String member) implements Statement {}

  /**
   * Creates a model or plain service.
   *
   * @param model name
   * @param options given properties
   */
  record CreateModel(String model, ModelOptions options) implements Statement {}

  /**
   * Changes the given properties of a model.
   *
   * @param model name
   * @param options given properties
   * @param version version that the model must still have, empty for any
   */
  record ChangeModel(String model, ModelOptions options, OptionalLong version)
      implements Statement {}

  /**
   * Deletes a model.
   *
   * @param model name
   * @param version version that the model must still have, empty for any
   */
  record DropModel(String model, OptionalLong version) implements Statement {}

  /**
   * Shows one model.
   *
   * @param model name
   */
  record ShowModel(String model) implements Statement {}

  /**
   * Sets a voted limit.
   *
   * @param kind kind of limit
   * @param member name of the member
   * @param value value as written; its form depends on the kind
   * @param version version that the member's limits must still have, empty for any
   */
  record SetLimit(LimitKind kind, String member, String value, OptionalLong version)
      implements Statement {}

  /**
   * Shows limits.
   *
   * @param member member, empty for all
   * @param inForce whether to show which version each instance applies
   */
  record ShowLimits(Optional<String> member, boolean inForce) implements Statement {}

  /**
   * Submits a batch job for an uploaded file.
   *
   * @param file id of the file
   * @param member member that uploaded it
   * @param path API path of the items
   * @param window time from now until the job is due, for example {@code 24h}
   * @param key idempotency key, empty to use the file's id
   */
  record SubmitJob(String file, String member, String path, String window, String key)
      implements Statement {}

  /**
   * Cancels a job.
   *
   * @param job id
   */
  record CancelJob(String job) implements Statement {}

  /**
   * Shows jobs, newest first.
   *
   * @param member member, empty for all
   * @param state state, empty for all
   * @param limit largest number of rows
   */
  record ShowJobs(Optional<String> member, Optional<JobState> state, int limit)
      implements Statement {}

  /**
   * Shows one job with the counts of its items.
   *
   * @param job id
   * @param await whether the client polls until the job has ended
   */
  record ShowJob(String job, boolean await) implements Statement {}

  /**
   * Shows a page of the items of a job, in file order.
   *
   * @param job id
   * @param state state, empty for all
   * @param limit largest number of rows
   * @param after position of the item before the page, empty for the first page
   */
  record ShowItems(String job, Optional<ItemState> state, int limit, Optional<ItemPosition> after)
      implements Statement {}

  /**
   * Shows a list.
   *
   * @param target kind of object to list
   */
  record ShowList(ListTarget target) implements Statement {}

  /**
   * Lifts a quarantine.
   *
   * @param fingerprint fingerprint of the quarantined request
   */
  record LiftQuarantine(String fingerprint) implements Statement {}

  /**
   * Shows endpoints.
   *
   * @param service service, empty for all
   */
  record ShowEndpoints(Optional<String> service) implements Statement {}

  /**
   * Takes an endpoint or instance out of use, or back into use.
   *
   * @param target kind of object
   * @param name name of the endpoint or instance
   * @param drained true to take it out of use, false to take it back into use
   */
  record Drain(DrainTarget target, String name, boolean drained) implements Statement {}

  /**
   * Orders an endpoint to load a model.
   *
   * @param endpoint name of the endpoint
   * @param model name of the model
   * @param version version of the order to replace; if it is empty, an order that has not ended is
   *     not replaced
   */
  record OrderLoad(String endpoint, String model, OptionalLong version) implements Statement {}
}
