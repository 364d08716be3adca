package org.sedgeroad.command;

import java.util.Map;

/** Tells up to which version each instance has applied all limits. */
@FunctionalInterface
public interface AppliedVersions {

  /** Returns the version of each instance that is known. */
  Map<String, Long> limitVersions();
}
