package org.sedgeroad.command;

import java.util.Map;

/** Provides the version up to which each instance has applied all limits. */
@FunctionalInterface
public interface AppliedLimitVersions {

  /** Returns the version of each known instance, by the name of the instance. */
  Map<String, Long> limitVersions();
}
