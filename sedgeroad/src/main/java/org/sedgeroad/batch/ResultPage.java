package org.sedgeroad.batch;

import java.util.List;

/**
 * Consecutive results of a job, starting at a given position.
 *
 * @param total number of items of the job
 * @param next position that follows the last result of the page
 * @param results results in order, not null
 */
public record ResultPage(int total, int next, List<JobResult> results) {
  /**
   * Maximum size of the results of one page, in bytes. The protocol allows 1 MB; the rest is for
   * the other fields.
   */
  private static final SizeLimit MAXIMUM_PAGE = new SizeLimit(999_000);

  /** Copies the list of results. */
  public ResultPage {
    results = List.copyOf(results);
  }

  /**
   * Returns a page of results, which contains at least one result if one exists at the position. A
   * single result may exceed the maximum size of a page.
   *
   * @param total number of items of the job
   * @param storedResults all stored results in order
   * @param after position of the first result; values below 0 count as 0
   */
  public static ResultPage of(int total, List<JobResult> storedResults, int after) {
    int first = Math.max(0, after);
    List<JobResult> remaining =
        storedResults.subList(Math.min(first, storedResults.size()), storedResults.size());
    List<JobResult> page = MAXIMUM_PAGE.first(remaining, JsonSize::of);
    return new ResultPage(total, first + page.size(), page);
  }
}
