package org.sedgeroad.testing.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import org.sedgeroad.testing.deployment.ApiClient;

/**
 * The results of a job as its caller reads them. No component may be null.
 *
 * @param status last status of the job
 * @param results number of lines in the output and error files, by the custom id of the item
 */
public record JobOutput(String status, Map<String, Integer> results) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Copies the results. */
  public JobOutput {
    results = Map.copyOf(results);
  }

  /**
   * Waits until a job ends and reads its result files; a job that does not end within the timeout
   * has no results.
   */
  public static JobOutput await(ApiClient client, String job, long timeoutMillis) {
    JsonNode ended = client.awaitBatch(job, timeoutMillis);
    Map<String, Integer> results = new HashMap<>();
    for (String field : new String[] {"output_file_id", "error_file_id"}) {
      if (ended.hasNonNull(field)) {
        count(client.get("/v1/files/" + ended.path(field).asText() + "/content").body(), results);
      }
    }
    return new JobOutput(ended.path("status").asText("unknown"), results);
  }

  /**
   * Adds the lines of a result file to the counts by custom id.
   *
   * @throws UncheckedIOException if a line is not valid JSON
   */
  static void count(String lines, Map<String, Integer> results) {
    lines
        .lines()
        .filter(line -> !line.isBlank())
        .forEach(
            line -> {
              try {
                String id = MAPPER.readTree(line).path("custom_id").asText();
                results.merge(id, 1, Integer::sum);
              } catch (IOException invalid) {
                throw new UncheckedIOException(invalid);
              }
            });
  }

  /** Returns how many of the items {@code item-0} to {@code item-(n-1)} have no result. */
  public int lostItems(int items) {
    int lost = 0;
    for (int index = 0; index < items; index++) {
      if (!results.containsKey("item-" + index)) {
        lost++;
      }
    }
    return lost;
  }

  /** Returns the number of items with more than one result. */
  public long completedTwice() {
    return results.values().stream().filter(count -> count > 1).count();
  }
}
