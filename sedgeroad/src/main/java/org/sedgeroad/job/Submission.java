package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;

/**
 * A request to submit a batch job.
 *
 * @param member member that submits the job
 * @param fileId id of the file with the items
 * @param path API path of the items
 * @param window completion window as given by the caller, for example {@code 24h}
 * @param deadline time by which the job should be completed
 * @param idempotencyKey idempotency key given by the caller, empty if none
 * @param metadata metadata as given by the caller; may be a missing node
 */
public record Submission(
    String member,
    String fileId,
    String path,
    String window,
    Instant deadline,
    String idempotencyKey,
    JsonNode metadata) {
  private static final int ID_DIGITS = 32;

  /** Returns the job that this submission creates, with the id of {@link #toJobId}. */
  Job toJob(BatchFile file, Instant now) {
    return new Job(
        toJobId(),
        member,
        fileId,
        path,
        window,
        now,
        deadline,
        file.segmentCount(),
        file.itemCount(),
        JobState.ACCEPTED,
        null,
        "0",
        ItemCounts.ZERO,
        metadata);
  }

  /**
   * Returns the id of the job, a hash of the member and the idempotency key, or of the member and
   * the file id if there is no key. A repeated submission therefore has the same id.
   */
  public String toJobId() {
    String identity = idempotencyKey.isEmpty() ? "file\n" + fileId : "key\n" + idempotencyKey;
    byte[] text = (member + "\n" + identity).getBytes(StandardCharsets.UTF_8);
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(text);
      return "batch_" + HexFormat.of().formatHex(digest).substring(0, ID_DIGITS);
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", impossible);
    }
  }
}
