package org.sedgeroad.batch;

import java.util.Objects;

/**
 * What every instance knows of an accepted job.
 *
 * @param id id chosen by the client, not null
 * @param host host of the route, not null
 * @param path path of the submission, not null
 * @param submittedMillis time of acceptance by the accepting instance's clock, in milliseconds
 *     since the epoch
 * @param itemCount number of items
 * @param itemObjects number of objects that hold the items
 * @param tokens tokens of all items
 * @param owner instance that runs the items, not null
 * @param ended whether a client ended the job
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
    boolean ended) {

  /** Checks that no component is null. */
  public JobHead {
    Objects.requireNonNull(id);
    Objects.requireNonNull(host);
    Objects.requireNonNull(path);
    Objects.requireNonNull(owner);
  }

  /** Returns this job with another owner. */
  public JobHead withOwner(String next) {
    return new JobHead(
        id, host, path, submittedMillis, itemCount, itemObjects, tokens, next, ended);
  }

  /** Returns this job, ended by a client. */
  public JobHead withEnd() {
    return new JobHead(
        id, host, path, submittedMillis, itemCount, itemObjects, tokens, owner, true);
  }
}
