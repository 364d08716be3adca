package org.sedgeroad.limit;

import org.sedgeroad.ServiceClass;

/** Decides whether a request is within its member's voted limits. */
@FunctionalInterface
public interface LimitGate {

  /**
   * Decides on one request and takes its units if it is admitted. May wait some milliseconds for a
   * peer.
   *
   * @param member member of the caller
   * @param serviceClass live or batch
   * @param tokens expected tokens of prompt and output; 0 is not checked against the token limit
   */
  Admission admit(String member, ServiceClass serviceClass, long tokens);
}
