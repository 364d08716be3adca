package org.sedgeroad.live;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Optional;
import org.sedgeroad.WorkState;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.WriteOutcome;

/**
 * Registry of claims on non-idempotent requests, kept in the store. A non-idempotent request with
 * an idempotency key is sent to an endpoint only by the instance that created its claim.
 */
public final class ClaimRegistry {
  private static final Duration CLAIM_LIFETIME = Duration.ofHours(24);

  private final StoreWriter writer;

  private ClaimRegistry(StoreWriter writer) {
    this.writer = writer;
  }

  /** Returns a registry in the writer's store. */
  public static ClaimRegistry of(StoreWriter writer) {
    return new ClaimRegistry(writer);
  }

  /**
   * Claims a request if it is not idempotent and has an idempotency key. Returns the reason why it
   * must not be sent, empty if it may be sent. Blocks while the store is written.
   */
  public Optional<LiveFailure> claim(LiveRequest request) {
    if (request.shape().idempotent() || request.key().isEmpty()) {
      return Optional.empty();
    }
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("request", request.id());
    spec.put("deadline", Instant.now().plus(CLAIM_LIFETIME).toString());
    String name = request.shape().member() + "." + hash(request.key());
    WriteOutcome outcome = writer.create(Kinds.CLAIMS, name, spec);
    if (outcome instanceof WriteOutcome.Written) {
      return Optional.empty();
    }
    if (outcome instanceof WriteOutcome.Lost) {
      return Optional.of(
          new LiveFailure(
              409,
              "already_claimed",
              "a non-idempotent request with this Idempotency-Key was accepted before",
              WorkState.UNKNOWN,
              Optional.empty()));
    }
    Instant retryAt =
        outcome instanceof WriteOutcome.NotWritten notWritten
            ? notWritten.retryAt()
            : Instant.now().plusSeconds(1);
    return Optional.of(
        new LiveFailure(
            503,
            "store_unavailable",
            "the request can't be claimed while the store is unavailable",
            WorkState.NOT_RUN,
            Optional.of(retryAt)));
  }

  private static String hash(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", impossible);
    }
  }
}
