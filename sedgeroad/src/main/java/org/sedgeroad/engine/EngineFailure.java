package org.sedgeroad.engine;

/** Reasons why an endpoint gave no whole answer. */
public sealed interface EngineFailure {

  /** Returns a description for logs and errors. */
  String reason();

  /**
   * The endpoint can't have started the work.
   *
   * @param reason description
   * @param draining whether the endpoint said that it is leaving
   */
  record NotRun(String reason, boolean draining) implements EngineFailure {}

  /**
   * The endpoint may have started the work.
   *
   * @param reason description
   */
  record Broken(String reason) implements EngineFailure {}
}
