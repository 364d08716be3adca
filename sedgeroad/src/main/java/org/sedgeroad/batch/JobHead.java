package org.sedgeroad.batch;

import java.util.Objects;
import org.sedgeroad.gateway.RouteTable;

/**
 * Metadata of an accepted job, without its items and results. Every instance caches it.
 *
 * @param id id chosen by the client, not null
 * @param host host of the route, not null
 * @param path request path of the submission, not null
 * @param submittedMillis time of acceptance in milliseconds since the epoch, by the clock of the
 *     instance that accepted the job
 * @param itemCount number of items
 * @param itemObjects number of store objects that contain the items
 * @param tokens sum of the tokens of all items
 * @param owner name of the instance that runs the items, not null
 * @param route name of the route that accepted the job, empty if unknown; not null
 * @param configurationVersion version of the configuration under which the job was accepted, 0 if
 *     unknown
 * @param workspace name of the workspace that the job belongs to, empty without one; not null
 * @param ended whether the job was ended by a client, or marked as ended before its deletion
 */
public record JobHead(
    String id,
    String host,
    String path,
    long submittedMillis,
    int itemCount,
    int itemObjects,
    long tokens,
    String owner,
    String route,
    long configurationVersion,
    String workspace,
    boolean ended) {

  /** Checks that no component is null. */
  public JobHead {
    Objects.requireNonNull(id);
    Objects.requireNonNull(host);
    Objects.requireNonNull(path);
    Objects.requireNonNull(owner);
    Objects.requireNonNull(route);
    Objects.requireNonNull(workspace);
  }

  /** Returns whether the job was submitted to the host and path of a submission. */
  boolean isOf(JobSubmission submission) {
    return RouteTable.hostName(host).equals(RouteTable.hostName(submission.host()))
        && path.equals(submission.path())
        && isVisibleTo(submission.workspace());
  }

  /** Returns whether callers of a workspace may see the job, all of them if it belongs to none. */
  boolean isVisibleTo(String caller) {
    return workspace.isEmpty() || caller.isEmpty() || workspace.equals(caller);
  }

  /** Returns a copy with another owner. */
  public JobHead withOwner(String newOwner) {
    return copy(itemObjects, newOwner, ended);
  }

  /** Returns a copy that is marked as ended. */
  public JobHead withEnded() {
    return copy(itemObjects, owner, true);
  }

  /** Returns a copy with another number of item objects. */
  public JobHead withItemObjects(int count) {
    return copy(count, owner, ended);
  }

  private JobHead copy(int newItemObjects, String newOwner, boolean newEnded) {
    return new JobHead(
        id,
        host,
        path,
        submittedMillis,
        itemCount,
        newItemObjects,
        tokens,
        newOwner,
        route,
        configurationVersion,
        workspace,
        newEnded);
  }
}
