package org.sedgeroad.placement;

/**
 * Time by which a request starts earlier at an endpoint because the beginning of its prompt is
 * probably cached there. Not negative.
 *
 * @param millis expected time in milliseconds, from what this instance has sent to the endpoint and
 *     from what others have probably sent there
 * @param knownMillis part of it that follows from what this instance has sent, in milliseconds
 */
record PromptSaving(double millis, double knownMillis) {
  /** Nothing is saved. */
  static final PromptSaving NONE = new PromptSaving(0, 0);

  /**
   * Returns the saving, in milliseconds, at an endpoint where the request would have to wait: only
   * what is known, and nothing if the wait costs more than that.
   *
   * @param waitMillis cost of the wait in milliseconds
   */
  double afterWait(double waitMillis) {
    return knownMillis >= waitMillis ? knownMillis : 0;
  }
}
