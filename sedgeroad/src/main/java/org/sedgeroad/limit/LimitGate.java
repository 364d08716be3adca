package org.sedgeroad.limit;

import org.sedgeroad.ServiceClass;

/** Decides whether a request is within its member's voted limits. */
@FunctionalInterface
public interface LimitGate {

  /**
   * Decides on one request and counts its use if it is admitted. May wait for a peer for some
   * milliseconds.
   *
   * @param member member of the caller
   * @param serviceClass live or batch
   * @param tokens expected tokens of prompt and output
   */
  Admission admit(String member, ServiceClass serviceClass, long tokens);
}
