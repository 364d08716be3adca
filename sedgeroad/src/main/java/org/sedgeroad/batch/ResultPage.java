package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.List;

/**
 * Consecutive results of a job, starting at a given position.
 *
 * @param total number of items of the job
 * @param next position that follows the last result of the page
 * @param results results in order, not null
 */
public record ResultPage(int total, int next, List<JobResult> results) {
  /** Maximum output of one page, in characters. The protocol allows 1 MB. */
  private static final int MAXIMUM_PAGE_CHARACTERS = 900_000;

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
    List<JobResult> page = new ArrayList<>();
    int characters = 0;
    for (int position = Math.max(0, after); position < storedResults.size(); position++) {
      JobResult result = storedResults.get(position);
      characters += result.output().length();
      if (!page.isEmpty() && characters > MAXIMUM_PAGE_CHARACTERS) {
        break;
      }
      page.add(result);
    }
    return new ResultPage(total, Math.max(0, after) + page.size(), page);
  }
}
