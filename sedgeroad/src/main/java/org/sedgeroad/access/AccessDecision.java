package org.sedgeroad.access;

import java.util.Optional;

/** Whether a request may be sent, and on whose behalf. */
public sealed interface AccessDecision {

  /**
   * The request may be sent.
   *
   * @param workspace workspace of the caller, empty if the route or the configuration needs none
   */
  record Allowed(Optional<Workspace> workspace) implements AccessDecision {}

  /** The request has no key that the configuration knows. */
  record Unauthorized() implements AccessDecision {}

  /**
   * The instance can't tell whether the key is valid.
   *
   * @param reason description for logs and clients, not null
   */
  record Uncertain(String reason) implements AccessDecision {}
}
