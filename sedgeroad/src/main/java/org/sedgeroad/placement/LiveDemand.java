package org.sedgeroad.placement;

import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.ServiceEndpoint;

/**
 * A live request that needs a slot at an endpoint. Immutable. Two demands are equal only if they
 * are the same object.
 */
public final class LiveDemand {
  /**
   * Time before the deadline from which a late request is no longer deferred, in milliseconds; an
   * answer takes about 0.7 s, and twice as long on a busy engine.
   */
  static final long MINIMUM_REMAINING_MILLIS = 1_500;

  private final String service;
  private final String workspace;
  private final int priority;
  private final long objectiveNanos;
  private final long deadlineNanos;
  private final Set<String> excluded;
  private final PromptPrefix prompt;
  private final Consumer<ServiceEndpoint> onPlace;

  private LiveDemand(
      String service,
      String workspace,
      int priority,
      long objectiveNanos,
      long deadlineNanos,
      Set<String> excluded,
      PromptPrefix prompt,
      Consumer<ServiceEndpoint> onPlace) {
    this.service = Objects.requireNonNull(service);
    this.workspace = Objects.requireNonNull(workspace);
    this.priority = priority;
    this.objectiveNanos = objectiveNanos;
    this.deadlineNanos = deadlineNanos;
    this.excluded = Set.copyOf(excluded);
    this.prompt = Objects.requireNonNull(prompt);
    this.onPlace = Objects.requireNonNull(onPlace);
  }

  /**
   * Returns a demand.
   *
   * @param service name of the service that must run the request, not null
   * @param workspace name of the workspace that sent the request, empty without one; not null
   * @param priority priority, 0 is the highest
   * @param objectiveNanos monotonic time by which the answer should begin, in nanoseconds
   * @param deadlineNanos monotonic time until which the client waits, in nanoseconds
   * @param excluded names of endpoints that must not be used, not null; copied
   * @param onPlace receives the endpoint once a slot is taken there, not null
   * @throws NullPointerException if an object is null
   */
  public static LiveDemand of(
      String service,
      String workspace,
      int priority,
      long objectiveNanos,
      long deadlineNanos,
      Set<String> excluded,
      Consumer<ServiceEndpoint> onPlace) {
    return new LiveDemand(
        service,
        workspace,
        priority,
        objectiveNanos,
        deadlineNanos,
        excluded,
        PromptPrefix.NONE,
        onPlace);
  }

  /**
   * Returns a demand that differs from this one in the parts of its prompt.
   *
   * @param next the parts, not null
   * @throws NullPointerException if the argument is null
   */
  public LiveDemand withPrompt(PromptPrefix next) {
    return new LiveDemand(
        service, workspace, priority, objectiveNanos, deadlineNanos, excluded, next, onPlace);
  }

  /** Returns the name of the service that must run the request. */
  public String service() {
    return service;
  }

  /** Returns the name of the workspace that sent the request, empty without one. */
  public String workspace() {
    return workspace;
  }

  /** Returns the priority, 0 is the highest. */
  public int priority() {
    return priority;
  }

  /** Returns the monotonic time by which the answer should begin, in nanoseconds. */
  public long objectiveNanos() {
    return objectiveNanos;
  }

  /** Returns the monotonic time until which the client waits, in nanoseconds. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /**
   * Returns whether the request can be deferred at a monotonic time in nanoseconds: its objective
   * has passed, and its client will still wait long enough for the request to run later.
   */
  public boolean isDeferrable(long nowNanos) {
    return objectiveNanos - nowNanos <= 0
        && deadlineNanos - nowNanos > MINIMUM_REMAINING_MILLIS * 1_000_000L;
  }

  /** Returns the names of the endpoints that must not be used. */
  public Set<String> excluded() {
    return excluded;
  }

  /** Returns the known parts of the prompt, never null. */
  PromptPrefix prompt() {
    return prompt;
  }

  void place(ServiceEndpoint endpoint) {
    onPlace.accept(endpoint);
  }
}
