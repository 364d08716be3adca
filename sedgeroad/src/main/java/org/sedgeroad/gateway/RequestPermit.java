package org.sedgeroad.gateway;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Permission of one client request to be sent to endpoints. It may end while the request waits.
 * Used on the event loop.
 */
public interface RequestPermit {
  /**
   * Returns the name of the workspace that sent the request, empty without one. It may change with
   * a check, because keys may be moved to another workspace.
   */
  String workspace();

  /** Returns the priority that replaces that of the route, empty to keep it. */
  OptionalInt priority();

  /** Returns whether endpoints must not receive the key and the workspace that the client sent. */
  boolean hidesCredentials();

  /**
   * Checks the permission again; to be called immediately before each send to an endpoint. The
   * first call that returns no refusal counts the request against the quota of its workspace.
   *
   * @return the refusal of a request that has not run, empty if it may be sent
   */
  Optional<Refusal> beforeSend();

  /**
   * Records that the last send did not reach its endpoint. A request that has reached none is not
   * counted against the quota.
   */
  void notSent();
}
