package org.sedgeroad.placement;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import org.sedgeroad.gateway.PromptPrefix;

/**
 * An engine that processes prompts one after the other and keeps their parts in a limited memory,
 * from which it evicts the least recently used ones that no running request needs.
 */
final class SimulatedPromptEngine {
  static final int SLOTS = 8;
  static final int MEMORY_TOKENS = 72_000;
  static final double TOKENS_PER_MILLI = 51.6;
  private static final double FIRST_STEP_MILLIS = 10;

  /** A request at the engine; {@code first} and {@code last} are called at those events. */
  record Work(PromptPrefix prompt, double outputMillis, Runnable first, Runnable last) {}

  private static final class CachedPart {
    private final int tokens;
    private int users;

    private CachedPart(int tokens) {
      this.tokens = tokens;
    }
  }

  private final VirtualTime time;
  private final Map<Long, CachedPart> memory = new LinkedHashMap<>();
  private final Queue<Work> queue = new ArrayDeque<>();
  private final Set<Work> running = new HashSet<>();
  private int usedTokens;
  private double prefilledUntilMillis;
  private int generation;

  /** Number of prompt tokens that were processed. */
  long prefilledTokens;

  SimulatedPromptEngine(VirtualTime time) {
    this.time = time;
  }

  void submit(Work work) {
    queue.add(work);
    admit();
  }

  /** Loses all requests and the memory. */
  void crash() {
    generation++;
    queue.clear();
    running.clear();
    memory.clear();
    usedTokens = 0;
    prefilledUntilMillis = 0;
  }

  private void admit() {
    while (!queue.isEmpty() && running.size() < SLOTS && hasMemory(queue.peek().prompt())) {
      run(queue.remove());
    }
  }

  private boolean hasMemory(PromptPrefix prompt) {
    int pinned = 0;
    for (CachedPart part : memory.values()) {
      pinned += part.users > 0 ? part.tokens : 0;
    }
    for (int index = 0; index < prompt.size(); index++) {
      CachedPart part = memory.get(prompt.key(index));
      pinned += part == null || part.users == 0 ? prompt.tokens(index) : 0;
    }
    return pinned <= MEMORY_TOKENS;
  }

  private void run(Work work) {
    running.add(work);
    int uncached = 0;
    boolean allBefore = true;
    for (int index = 0; index < work.prompt().size(); index++) {
      allBefore &= memory.containsKey(work.prompt().key(index));
      uncached += allBefore ? 0 : work.prompt().tokens(index);
    }
    // The last part comes first, so that it is evicted before those that other requests share.
    for (int index = work.prompt().size() - 1; index >= 0; index--) {
      CachedPart part = memory.remove(work.prompt().key(index));
      if (part == null) {
        part = new CachedPart(work.prompt().tokens(index));
        usedTokens += part.tokens;
      }
      part.users++;
      memory.put(work.prompt().key(index), part);
    }
    evict();
    prefilledTokens += uncached;
    double now = time.nanos() / 1e6;
    prefilledUntilMillis = Math.max(now, prefilledUntilMillis) + uncached / TOKENS_PER_MILLI;
    double firstMillis = prefilledUntilMillis - now + FIRST_STEP_MILLIS;
    int started = generation;
    time.after(firstMillis, () -> ifRunning(started, work.first()));
    time.after(
        firstMillis + work.outputMillis(),
        () ->
            ifRunning(
                started,
                () -> {
                  running.remove(work);
                  for (int index = 0; index < work.prompt().size(); index++) {
                    memory.get(work.prompt().key(index)).users--;
                  }
                  work.last().run();
                  admit();
                }));
  }

  private void ifRunning(int started, Runnable action) {
    if (started == generation) {
      action.run();
    }
  }

  private void evict() {
    var parts = memory.entrySet().iterator();
    while (usedTokens > MEMORY_TOKENS && parts.hasNext()) {
      Map.Entry<Long, CachedPart> eldest = parts.next();
      if (eldest.getValue().users == 0) {
        usedTokens -= eldest.getValue().tokens;
        parts.remove();
      }
    }
  }
}
