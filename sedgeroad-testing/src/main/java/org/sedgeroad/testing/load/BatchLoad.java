package org.sedgeroad.testing.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;

/** Submits batch jobs that keep a deployment's engines supplied with items. */
public final class BatchLoad {
  private final Deployment deployment;
  private final String label;
  private final int promptTokens;
  private final int answerTokens;
  private final List<String> jobs = new ArrayList<>();

  /**
   * Creates a load without jobs.
   *
   * @param deployment deployment to which the jobs are submitted
   * @param label start of every prompt; keeps the prompts of two loads apart
   * @param promptTokens number of tokens of each prompt
   * @param answerTokens number of tokens of each answer
   */
  public BatchLoad(Deployment deployment, String label, int promptTokens, int answerTokens) {
    this.deployment = deployment;
    this.label = label;
    this.promptTokens = promptTokens;
    this.answerTokens = answerTokens;
  }

  /**
   * Submits a job with the given number of items.
   *
   * @return id of the job
   * @throws IllegalStateException if the input file or the job is not accepted
   */
  public String submit(int items) {
    List<String> prompts = new ArrayList<>();
    for (int index = 0; index < items; index++) {
      prompts.add(PlannedRequest.prompt(label + "-" + jobs.size() + "-" + index, promptTokens));
    }
    ApiClient client = client(jobs.size());
    ApiAnswer file = client.upload(deployment.plan().model(), prompts, answerTokens);
    if (file.status() != 200) {
      throw new IllegalStateException("upload refused: " + file);
    }
    ApiAnswer job = client.submit(client.json(file).path("id").asText(), Map.of());
    if (job.status() != 200) {
      throw new IllegalStateException("job refused: " + job);
    }
    jobs.add(client.json(job).path("id").asText());
    return jobs.get(jobs.size() - 1);
  }

  /** Returns the ids of the jobs, in the order of submission. */
  public List<String> jobs() {
    return List.copyOf(jobs);
  }

  /** Cancels all jobs. */
  public void cancel() {
    for (String job : jobs) {
      client(0).send("POST", "/v1/batches/" + job + "/cancel", new byte[0], Map.of());
    }
  }

  private ApiClient client(int number) {
    return deployment.client(number % deployment.entries().size());
  }
}
