package org.sedgeroad.testing.proxy;

/**
 * The faults of a proxy at a point in time.
 *
 * @param cut whether connections are refused
 * @param blackHole whether all bytes are dropped in both directions
 * @param requestDelayMillis delay towards the target in milliseconds
 * @param answerDelayMillis delay towards the caller in milliseconds
 */
record ProxyFaults(
    boolean cut, boolean blackHole, long requestDelayMillis, long answerDelayMillis) {
  static final ProxyFaults NONE = new ProxyFaults(false, false, 0, 0);

  ProxyFaults withCut(boolean newCut) {
    return new ProxyFaults(newCut, blackHole, requestDelayMillis, answerDelayMillis);
  }

  ProxyFaults withBlackHole(boolean newBlackHole) {
    return new ProxyFaults(cut, newBlackHole, requestDelayMillis, answerDelayMillis);
  }

  ProxyFaults withDelays(long requestMillis, long answerMillis) {
    return new ProxyFaults(cut, blackHole, requestMillis, answerMillis);
  }

  long delayMillis(Direction direction) {
    return direction == Direction.REQUEST ? requestDelayMillis : answerDelayMillis;
  }
}
