package org.sedgeroad.access;

import java.util.Optional;

/**
 * What the sender of a call about a job may see. Jobs belong to workspaces; one that was accepted
 * without a workspace belongs to all.
 */
@FunctionalInterface
public interface JobAccess {

  /** Reason why a call about a job is not answered. */
  enum Denial {
    /** For the caller, there is no such job. */
    HIDDEN,
    /** The instance can't tell whether the caller may see the job. */
    UNCERTAIN
  }

  /** Access to all jobs, in a configuration without workspaces. */
  JobAccess ALL = owner -> Optional.empty();

  /** Access of a caller whose workspace is not known yet. */
  JobAccess UNKNOWN_CALLER =
      owner -> owner.isEmpty() ? Optional.empty() : Optional.of(Denial.UNCERTAIN);

  /** Returns the access of a caller of a workspace. */
  static JobAccess of(String workspace) {
    return owner ->
        owner.isEmpty() || owner.equals(workspace) ? Optional.empty() : Optional.of(Denial.HIDDEN);
  }

  /**
   * Returns why the caller may not see a job, empty if it may.
   *
   * @param owner name of the workspace that the job belongs to, empty if none
   */
  Optional<Denial> denial(String owner);
}
