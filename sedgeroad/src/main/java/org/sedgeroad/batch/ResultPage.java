package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.List;

/**
 * Results of a job from a position on.
 *
 * @param total number of items of the job
 * @param next position after the last result of the page
 * @param results the results
 */
public record ResultPage(int total, int next, List<JobResult> results) {
  /** Bound on the output of one page, in characters; the protocol allows 1 MB. */
  private static final int PAGE_CHARACTERS = 900_000;

  /** Copies the list. */
  public ResultPage {
    results = List.copyOf(results);
  }

  /**
   * Returns the results from a position on, at least one if there is one.
   *
   * @param total number of items of the job
   * @param listed all listed results in order
   * @param after position of the first result
   */
  public static ResultPage of(int total, List<JobResult> listed, int after) {
    List<JobResult> page = new ArrayList<>();
    int characters = 0;
    for (int position = Math.max(0, after); position < listed.size(); position++) {
      JobResult result = listed.get(position);
      characters += result.output().length();
      if (!page.isEmpty() && characters > PAGE_CHARACTERS) {
        break;
      }
      page.add(result);
    }
    return new ResultPage(total, Math.max(0, after) + page.size(), page);
  }
}
