package org.sedgeroad.testing.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Cache of prompt blocks that evicts the least recently used ones. Not thread-safe. */
final class PrefixCache {
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final int capacity;

  /** Creates an empty cache for the given number of tokens, rounded down to whole blocks. */
  PrefixCache(int tokens) {
    capacity = tokens / PromptText.TOKENS_PER_BLOCK;
  }

  /** Returns the number of tokens of the longest cached prefix of a prompt's blocks. */
  int cachedTokens(List<Long> promptBlocks) {
    int count = 0;
    while (count < promptBlocks.size() && blocks.containsKey(promptBlocks.get(count))) {
      count++;
    }
    return count * PromptText.TOKENS_PER_BLOCK;
  }

  /**
   * Adds the first blocks of a prompt, at most as many as the capacity, and returns those that were
   * not cached, in the order of the prompt.
   */
  List<Long> add(List<Long> promptBlocks) {
    List<Long> added = new ArrayList<>();
    // The last block is added first, so that the end of a prefix is evicted before its start.
    for (int index = Math.min(promptBlocks.size(), capacity) - 1; index >= 0; index--) {
      if (blocks.put(promptBlocks.get(index), true) == null) {
        added.add(0, promptBlocks.get(index));
      }
    }
    return added;
  }

  /** Evicts the least recently used blocks beyond the capacity and returns them. */
  List<Long> evict() {
    List<Long> evicted = new ArrayList<>();
    Iterator<Long> oldest = blocks.keySet().iterator();
    for (int excess = blocks.size() - capacity; excess > 0; excess--) {
      evicted.add(oldest.next());
      oldest.remove();
    }
    return evicted;
  }

  int usedTokens() {
    return blocks.size() * PromptText.TOKENS_PER_BLOCK;
  }

  void clear() {
    blocks.clear();
  }
}
