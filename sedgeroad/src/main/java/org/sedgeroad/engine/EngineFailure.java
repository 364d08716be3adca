package org.sedgeroad.engine;

/** Reason why no complete answer was received from an endpoint. */
public sealed interface EngineFailure {

  /** Returns a description for logs and error messages. */
  String reason();

  /**
   * The endpoint has certainly not started the work.
   *
   * @param reason description of the failure
   * @param draining whether the endpoint answered that it is draining
   */
  record NotRun(String reason, boolean draining) implements EngineFailure {}

  /**
   * No complete answer was received; the endpoint may have started the work.
   *
   * @param reason description of the failure
   */
  record Broken(String reason) implements EngineFailure {}
}
