package org.sedgeroad.command;

import java.util.Map;

/** Tells which version of a member's limits each instance applies. */
@FunctionalInterface
public interface AppliedVersions {

  /** Returns the version that each known instance applies, 0 if it has none. */
  Map<String, Long> ofMember(String member);
}
