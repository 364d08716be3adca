package org.sedgeroad.http;

/** The result of an HTTP request: a whole answer or a failure. */
public sealed interface HttpResult {

  /**
   * A whole answer, with any status.
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
