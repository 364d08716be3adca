package org.sedgeroad.http;

/** Outcome of a blocking call. */
public sealed interface HttpResult {

  /**
   * A whole answer.
   *
   * @param head status and headers
   * @param body whole body; must not be modified
   */
  record Answered(HttpHead head, byte[] body) implements HttpResult {}

  /**
   * No whole answer.
   *
   * @param failure the reason
   */
  record Failed(HttpFailure failure) implements HttpResult {}
}
