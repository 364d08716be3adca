package org.sedgeroad.job;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.WriteOutcome;

/**
 * Packs the lines of a batch file into inputs while they arrive, so that the file is never held in
 * memory as a whole. Each input holds the items of one segment. Not thread-safe.
 */
final class FilePacker {
  /** Maximum number of items in an input. */
  private static final int MAX_SEGMENT_ITEMS = 256;

  /**
   * Maximum uncompressed size of an input; compressed, it is well below the store's limit of 1 MB.
   */
  private static final int MAX_SEGMENT_BYTES = 512 * 1024;

  private static final Set<String> PATHS = Set.of("/v1/completions", "/v1/chat/completions");

  private final ObjectMapper mapper =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private final StoreWriter writer;
  private final String fileId;
  private final List<String> lines = new ArrayList<>();
  private final Set<Long> customIdHashes = new HashSet<>();
  private int pendingBytes;
  private int lineNumber;
  private int items;
  private int segments;
  private long bytes;
  private UploadResult failure;

  FilePacker(StoreWriter writer, String fileId) {
    this.writer = writer;
    this.fileId = fileId;
  }

  /** Adds one line of the file. Blank lines are skipped, as are all lines after a failure. */
  void accept(String line) {
    lineNumber++;
    int length = line.getBytes(StandardCharsets.UTF_8).length;
    bytes += length + 1;
    if (failure != null || line.isBlank()) {
      return;
    }
    String fault = findFault(line, length);
    if (fault != null) {
      failure = new UploadResult.BadLine(lineNumber, fault);
      return;
    }
    if (pendingBytes + length > MAX_SEGMENT_BYTES || lines.size() == MAX_SEGMENT_ITEMS) {
      flush();
    }
    lines.add(line);
    pendingBytes += length;
    items++;
  }

  /** Writes the last input. Returns null on success, otherwise the first failure. */
  UploadResult finish() {
    if (failure == null && !lines.isEmpty()) {
      flush();
    }
    if (failure == null && items == 0) {
      failure = new UploadResult.BadLine(0, "the file has no items");
    }
    return failure;
  }

  int items() {
    return items;
  }

  int segments() {
    return segments;
  }

  long bytes() {
    return bytes;
  }

  /** Returns what is wrong with a line, to be put after "line n", or null if it is valid. */
  private String findFault(String line, int length) {
    if (length > MAX_SEGMENT_BYTES) {
      return "is longer than " + MAX_SEGMENT_BYTES + " bytes";
    }
    JsonNode node;
    try {
      node = mapper.readTree(line);
    } catch (JsonProcessingException invalid) {
      return "is not valid JSON: " + invalid.getOriginalMessage();
    }
    String customId = node.path("custom_id").asText("");
    if (customId.isEmpty()) {
      return "has no custom_id";
    }
    if (!PATHS.contains(node.path("url").asText())) {
      return "has an url other than " + String.join(", ", PATHS.stream().sorted().toList());
    }
    if (!node.path("body").path("model").isTextual()) {
      return "has no body.model";
    }
    long hash = com.dynatrace.hash4j.hashing.Hashing.komihash5_0().hashCharsToLong(customId);
    return customIdHashes.add(hash) ? null : "repeats custom_id '" + customId + "'";
  }

  private void flush() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("count", lines.size());
    spec.put("lines", CompressedLines.compress(lines));
    WriteOutcome outcome = writer.create(Kinds.INPUTS, fileId + "." + segments, spec);
    if (outcome instanceof WriteOutcome.Written) {
      segments++;
      lines.clear();
      pendingBytes = 0;
    } else {
      failure = new UploadResult.StoreFailed(outcome.toString());
    }
  }
}
