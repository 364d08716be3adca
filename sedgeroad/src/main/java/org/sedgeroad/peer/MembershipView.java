package org.sedgeroad.peer;

import java.util.List;

/** Lists the instances of this failure domain that are considered live, including this one. */
@FunctionalInterface
public interface MembershipView {

  /** Returns the names of the live instances in name order; never empty. */
  List<String> liveInstances();
}
