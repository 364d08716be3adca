package org.sedgeroad.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Reads JSON answers of a store that contain objects of several writers. A value that can't be
 * read, because it is nested too deeply or has a number that is too long, is replaced by null, so
 * that the other objects of the answer are still read. Thread-safe.
 */
public final class LenientJson {
  /** Members of an object that one writer has written; they are replaced as a whole. */
  private static final Set<String> WRITTEN_MEMBERS = Set.of("spec", "status");

  /** Largest depth at which a part of an answer is replaced rather than the whole. */
  private static final int MAXIMUM_DEPTH = 8;

  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a reader. */
  public LenientJson() {}

  /**
   * Returns the JSON value of an answer.
   *
   * @throws IOException if the answer as a whole is not JSON
   */
  public JsonNode read(byte[] bytes) throws IOException {
    try {
      return mapper.readTree(bytes);
    } catch (JsonProcessingException unreadable) {
      JsonStructure structure = new JsonStructure(bytes);
      JsonStructure.Value whole =
          structure.whole().orElseThrow(() -> new IOException("not JSON", unreadable));
      return read(structure, whole, 0);
    }
  }

  private JsonNode read(JsonStructure structure, JsonStructure.Value value, int depth)
      throws IOException {
    try {
      return mapper.readTree(structure.bytes(), value.start(), value.length());
    } catch (JsonProcessingException unreadable) {
      return depth < MAXIMUM_DEPTH ? readParts(structure, value, depth) : NullNode.instance;
    }
  }

  private JsonNode readParts(JsonStructure structure, JsonStructure.Value value, int depth)
      throws IOException {
    if (structure.isArray(value)) {
      ArrayNode array = mapper.createArrayNode();
      for (JsonStructure.Value element : structure.elements(value)) {
        array.add(read(structure, element, depth + 1));
      }
      return array;
    }
    if (structure.isObject(value)) {
      ObjectNode object = mapper.createObjectNode();
      List<JsonStructure.Value> namesAndValues = new ArrayList<>(structure.elements(value));
      for (int index = 0; index + 1 < namesAndValues.size(); index += 2) {
        String name = read(structure, namesAndValues.get(index), MAXIMUM_DEPTH).asText();
        int memberDepth = WRITTEN_MEMBERS.contains(name) ? MAXIMUM_DEPTH : depth + 1;
        object.set(name, read(structure, namesAndValues.get(index + 1), memberDepth));
      }
      return object;
    }
    return NullNode.instance;
  }
}
