package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A claimed segment of a batch job, as stored.
 *
 * @param key job and index
 * @param holder name of the store writer of the instance that works on it, empty if released
 * @param states one character for each item, see {@link ItemState#code()}
 * @param chunks names of the committed result chunks
 */
public record Segment(SegmentKey key, String holder, String states, List<String> chunks) {

  /** Creates a segment with a copy of the list of chunks. */
  public Segment {
    chunks = List.copyOf(chunks);
  }

  /** Returns a newly claimed segment in which all items are waiting. */
  public static Segment claimed(SegmentKey key, String holder, int itemCount) {
    return new Segment(
        key, holder, String.valueOf(ItemState.WAITING.code()).repeat(itemCount), List.of());
  }

  /** Reads a segment from the spec of its object. */
  public static Segment fromSpec(SegmentKey key, JsonNode spec) {
    List<String> chunks = new ArrayList<>();
    spec.path("chunks").forEach(chunk -> chunks.add(chunk.asText()));
    return new Segment(key, spec.path("holder").asText(), spec.path("states").asText(), chunks);
  }

  /** Returns the spec of the segment's object. */
  public ObjectNode toSpec() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("holder", holder);
    spec.put("states", states);
    ArrayNode names = spec.putArray("chunks");
    chunks.forEach(names::add);
    return spec;
  }

  /**
   * Returns the state of an item.
   *
   * @param item index of the item in this segment, from 0
   * @throws IndexOutOfBoundsException if the segment has no such item
   */
  public ItemState state(int item) {
    return ItemState.ofCode(states.charAt(item));
  }

  /** Returns whether all items have ended. */
  public boolean isFinished() {
    return states.indexOf(ItemState.WAITING.code()) < 0
        && states.indexOf(ItemState.STARTED.code()) < 0;
  }

  /** Returns the counts of the ended items. */
  public ItemCounts counts() {
    return new ItemCounts(
        count(ItemState.DONE),
        count(ItemState.FAILED),
        count(ItemState.CANCELLED),
        count(ItemState.OUTCOME_UNKNOWN));
  }

  /** Returns a copy with another holder, or without a holder if the name is empty. */
  public Segment withHolder(String newHolder) {
    return new Segment(key, newHolder, states, chunks);
  }

  /**
   * Returns a copy with some item states replaced and a result chunk added.
   *
   * @param changes new states by item index
   * @param chunk name of the result chunk, null for none
   */
  public Segment withStates(Map<Integer, ItemState> changes, String chunk) {
    StringBuilder changed = new StringBuilder(states);
    changes.forEach((item, state) -> changed.setCharAt(item, state.code()));
    List<String> names = new ArrayList<>(chunks);
    if (chunk != null) {
      names.add(chunk);
    }
    return new Segment(key, holder, changed.toString(), names);
  }

  /** Returns a copy in which all items in one state have another state. */
  public Segment withStateReplaced(ItemState from, ItemState to) {
    return new Segment(key, holder, states.replace(from.code(), to.code()), chunks);
  }

  private int count(ItemState state) {
    return (int) states.chars().filter(code -> code == state.code()).count();
  }
}
