package org.sedgeroad.peer;

import java.util.List;

/** The instances of this failure domain that are believed to be live, this one included. */
@FunctionalInterface
public interface MembershipView {

  /** Returns the names of the live instances in name order; never empty. */
  List<String> liveInstances();
}
