package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;

/**
 * What a caller gives to submit a job.
 *
 * @param member member of the caller
 * @param fileId file with the items
 * @param path API path of the items
 * @param window completion window as given, for example {@code 24h}
 * @param deadline time by which the job is due
 * @param idempotencyKey the caller's idempotency key, empty if none
 * @param metadata metadata as given, may be a missing node
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

  /** Returns the accepted job; its id depends only on member and key, or on the file. */
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

  /** Returns the id of the job that this submission creates or repeats. */
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
