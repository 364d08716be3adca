package org.sedgeroad.testing.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Blocks of prompts in limited memory, least recently used out first. Not thread-safe. */
final class PrefixCache {
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final int capacity;

  /** Creates an empty cache for the given number of tokens. */
  PrefixCache(int tokens) {
    capacity = tokens / PromptText.BLOCK_TOKENS;
  }

  /** Returns the number of tokens of the longest cached prefix. */
  int cachedTokens(List<Long> prompt) {
    int count = 0;
    while (count < prompt.size() && blocks.containsKey(prompt.get(count))) {
      count++;
    }
    return count * PromptText.BLOCK_TOKENS;
  }

  /** Adds the blocks of a prompt and returns those that were not cached. */
  List<Long> add(List<Long> prompt) {
    List<Long> added = new ArrayList<>();
    // From the last to the first, so that the end of a prefix leaves the cache before its start.
    for (int index = Math.min(prompt.size(), capacity) - 1; index >= 0; index--) {
      if (blocks.put(prompt.get(index), true) == null) {
        added.add(0, prompt.get(index));
      }
    }
    return added;
  }

  /** Removes the blocks beyond the capacity and returns them. */
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
    return blocks.size() * PromptText.BLOCK_TOKENS;
  }

  void clear() {
    blocks.clear();
  }
}
