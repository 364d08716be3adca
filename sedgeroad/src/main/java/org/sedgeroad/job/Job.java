package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigInteger;
import java.time.Instant;
import java.util.BitSet;

/**
 * A batch job, as stored.
 *
 * @param id unique id
 * @param member member that submitted it
 * @param fileId id of the file with its items
 * @param path API path of its items, for example {@code /v1/completions}
 * @param window completion window as given by the caller, for example {@code 24h}
 * @param acceptedAt time at which it was accepted
 * @param deadline time by which it should be completed
 * @param segmentCount number of segments
 * @param itemCount number of items
 * @param state state of the job
 * @param endedAt time of completion or cancellation, null until then
 * @param finished bit set of the finished segments, as a hexadecimal number whose lowest bit stands
 *     for segment 0
 * @param counts counts of ended items in the finished segments
 * @param metadata metadata as given by the caller
 */
public record Job(
    String id,
    String member,
    String fileId,
    String path,
    String window,
    Instant acceptedAt,
    Instant deadline,
    int segmentCount,
    int itemCount,
    JobState state,
    Instant endedAt,
    String finished,
    ItemCounts counts,
    JsonNode metadata) {

  /**
   * Reads a job from the spec of its stored object.
   *
   * @throws IllegalArgumentException if the state is unknown
   * @throws java.time.format.DateTimeParseException if a time is missing or malformed
   */
  public static Job fromSpec(String id, JsonNode spec) {
    return new Job(
        id,
        spec.path("member").asText(),
        spec.path("file").asText(),
        spec.path("path").asText(),
        spec.path("window").asText(),
        Instant.parse(spec.path("accepted_at").asText()),
        Instant.parse(spec.path("deadline").asText()),
        spec.path("segments").asInt(),
        spec.path("items").asInt(),
        JobState.valueOf(spec.path("state").asText()),
        spec.hasNonNull("ended_at") ? Instant.parse(spec.path("ended_at").asText()) : null,
        spec.path("finished").asText("0"),
        ItemCounts.fromJson(spec.path("counts")),
        spec.path("metadata"));
  }

  /** Returns the spec of the job's stored object. */
  public ObjectNode toSpec() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("member", member);
    spec.put("file", fileId);
    spec.put("path", path);
    spec.put("window", window);
    spec.put("accepted_at", acceptedAt.toString());
    spec.put("deadline", deadline.toString());
    spec.put("segments", segmentCount);
    spec.put("items", itemCount);
    spec.put("state", state.name());
    if (endedAt != null) {
      spec.put("ended_at", endedAt.toString());
    }
    spec.put("finished", finished);
    counts.writeTo(spec.putObject("counts"));
    spec.set("metadata", metadata);
    return spec;
  }

  /** Returns whether a segment is finished and included in the counts. */
  public boolean isFinished(int segment) {
    return finishedBits().get(segment);
  }

  /**
   * Returns a copy in which a segment is finished and its counts are included, or this job if they
   * were already. The copy of an accepted job is completed if this was the last segment.
   */
  public Job withFinished(int segment, ItemCounts segmentCounts, Instant now) {
    BitSet bits = finishedBits();
    if (bits.get(segment)) {
      return this;
    }
    bits.set(segment);
    boolean last = bits.cardinality() == segmentCount && state == JobState.ACCEPTED;
    return with(
        last ? JobState.COMPLETED : state,
        last ? now : endedAt,
        toHex(bits),
        counts.plus(segmentCounts));
  }

  /** Returns whether all segments are included in the counts. */
  public boolean isCounted() {
    return finishedBits().cardinality() == segmentCount;
  }

  /** Returns the finished segments, as a new set of their indexes. */
  public BitSet finishedSegments() {
    return finishedBits();
  }

  /**
   * Returns a copy of a cancelled job in which all segments are included in the counts. Items of
   * segments that were never claimed count as cancelled.
   *
   * @param ended counts of all segments that were claimed, all of whose items must have ended
   */
  public Job withAllCounted(ItemCounts ended) {
    BitSet bits = new BitSet();
    bits.set(0, segmentCount);
    int others = ended.done() + ended.failed() + ended.unknown();
    ItemCounts all =
        new ItemCounts(ended.done(), ended.failed(), itemCount - others, ended.unknown());
    return with(state, endedAt, toHex(bits), all);
  }

  /** Returns a copy that is cancelled at the given time. */
  public Job withCancelled(Instant now) {
    return with(JobState.CANCELLED, now, finished, counts);
  }

  private Job with(JobState newState, Instant ended, String bits, ItemCounts newCounts) {
    return new Job(
        id,
        member,
        fileId,
        path,
        window,
        acceptedAt,
        deadline,
        segmentCount,
        itemCount,
        newState,
        ended,
        bits,
        newCounts,
        metadata);
  }

  private BitSet finishedBits() {
    byte[] bytes = new BigInteger(finished, 16).toByteArray();
    byte[] reversed = new byte[bytes.length];
    for (int index = 0; index < bytes.length; index++) {
      reversed[index] = bytes[bytes.length - 1 - index];
    }
    return BitSet.valueOf(reversed);
  }

  private static String toHex(BitSet bits) {
    BigInteger number = BigInteger.ZERO;
    for (int bit = bits.nextSetBit(0); bit >= 0; bit = bits.nextSetBit(bit + 1)) {
      number = number.setBit(bit);
    }
    return number.toString(16);
  }
}
