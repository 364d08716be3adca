package org.sedgeroad.presence;

/**
 * Live requests of one workspace.
 *
 * @param sent number of requests that were sent to endpoints within the window of quotas
 * @param running number of requests that endpoints have now
 * @param waiting number of requests that wait for a slot
 * @param retained number of requests that were sent within the last known window by instances that
 *     no longer report, and by processes that were restarted
 */
public record WorkspaceLoad(int sent, int running, int waiting, int retained) {
  /** No requests. */
  public static final WorkspaceLoad NONE = new WorkspaceLoad(0, 0, 0);

  /** Creates a load of instances that report. */
  public WorkspaceLoad(int sent, int running, int waiting) {
    this(sent, running, waiting, 0);
  }

  /** Returns the sum of this load and another. */
  public WorkspaceLoad plus(WorkspaceLoad other) {
    return new WorkspaceLoad(
        sent + other.sent,
        running + other.running,
        waiting + other.waiting,
        retained + other.retained);
  }

  /** Returns this load without another that is a part of it; no number becomes negative. */
  public WorkspaceLoad minus(WorkspaceLoad part) {
    return new WorkspaceLoad(
        Math.max(0, sent - part.sent),
        Math.max(0, running - part.running),
        Math.max(0, waiting - part.waiting),
        Math.max(0, retained - part.retained));
  }

  /** Returns the number of requests that were sent by all instances, reporting or not. */
  int sentByAll() {
    return sent + retained;
  }
}
