package org.sedgeroad.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.sedgeroad.gateway.PromptPrefix;

/**
 * The prompt parts that this instance has sent to one incarnation of an endpoint, in the order of
 * their last use, as far as the endpoint may still have them cached. Used on the event loop.
 *
 * <p>An endpoint evicts the least recently used parts first. A part is therefore as old as the
 * tokens that were used after it: those of the own parts, and an estimate of the tokens that other
 * instances have sent since.
 */
final class EndpointPrompts {
  /**
   * Time after a send within which a part counts as cached although no event has arrived, in
   * nanoseconds: streams are moved after as long without an event.
   */
  private static final long UNCONFIRMED_NANOS = 1_000_000_000L;

  private static final class CachedPart {
    private final long key;
    private final int tokens;
    private long use;
    private double othersTokens;
    private long sentNanos;
    private boolean confirmed;

    private CachedPart(long key, int tokens) {
      this.key = key;
      this.tokens = tokens;
    }
  }

  private final Map<Long, CachedPart> byKey = new HashMap<>();

  /** The same parts by number of their last use. */
  private final TreeMap<Long, CachedPart> byUse = new TreeMap<>();

  private long uses;
  private double othersTokens;
  private long countedNanos;

  /** Creates a table without parts at a monotonic time in nanoseconds. */
  EndpointPrompts(long nowNanos) {
    countedNanos = nowNanos;
  }

  /**
   * Counts the tokens that other instances have probably sent to the endpoint since the last call.
   *
   * @param tokensPerMilli estimated number of new tokens in a millisecond
   * @param nowNanos monotonic time in nanoseconds
   */
  void countOthers(double tokensPerMilli, long nowNanos) {
    othersTokens += tokensPerMilli * Math.max(0, nowNanos - countedNanos) / 1e6;
    countedNanos = nowNanos;
  }

  /**
   * Returns the probability that a part is cached, with all parts before it.
   *
   * @param key key of the part
   * @param room number of tokens of cached parts that the endpoint has room for
   * @param nowNanos monotonic time in nanoseconds
   */
  double probability(long key, double room, long nowNanos) {
    CachedPart part = byKey.get(key);
    if (part == null || (!part.confirmed && nowNanos - part.sentNanos > UNCONFIRMED_NANOS)) {
      return 0;
    }
    double usedAfter = othersTokens - part.othersTokens;
    for (CachedPart later : byUse.tailMap(part.use).values()) {
      usedAfter += later.tokens;
      if (usedAfter >= room) {
        return 0;
      }
    }
    return probability(usedAfter, room);
  }

  /**
   * Returns the probability that a part is cached. It decreases evenly, because the tokens used
   * after the part are an estimate: with a probability of 1 up to half of the room, requests keep
   * returning to endpoints that have evicted the part.
   *
   * @param usedAfter number of tokens of the part and of all that were used after it
   * @param room number of tokens of cached parts that the endpoint has room for
   */
  static double probability(double usedAfter, double room) {
    return room <= 0 ? 0 : Math.max(0, 1 - usedAfter / room);
  }

  /**
   * Records a request that is sent now, and removes what it evicts.
   *
   * @param prompt parts of its prompt
   * @param cacheTokens size of the endpoint's memory in tokens
   * @param maximumParts maximum number of parts to keep
   * @param nowNanos monotonic time in nanoseconds
   */
  void send(PromptPrefix prompt, int cacheTokens, int maximumParts, long nowNanos) {
    // The last part comes first, because a part is of no use without those before it.
    for (int index = prompt.size() - 1; index >= 0; index--) {
      int tokens = prompt.tokens(index);
      CachedPart part =
          byKey.computeIfAbsent(prompt.key(index), key -> new CachedPart(key, tokens));
      byUse.remove(part.use, part);
      part.use = ++uses;
      part.othersTokens = othersTokens;
      part.sentNanos = nowNanos;
      byUse.put(part.use, part);
    }
    evict(cacheTokens, maximumParts);
  }

  private void evict(int cacheTokens, int maximumParts) {
    double ownTokens = byKey.values().stream().mapToDouble(part -> part.tokens).sum();
    while (!byUse.isEmpty()) {
      CachedPart eldest = byUse.firstEntry().getValue();
      if (byUse.size() <= maximumParts
          && ownTokens + othersTokens - eldest.othersTokens <= cacheTokens) {
        return;
      }
      byUse.remove(eldest.use);
      byKey.remove(eldest.key);
      ownTokens -= eldest.tokens;
    }
  }

  /** Records that the endpoint has processed a prompt. */
  void confirm(PromptPrefix prompt) {
    for (int index = 0; index < prompt.size(); index++) {
      CachedPart part = byKey.get(prompt.key(index));
      if (part != null) {
        part.confirmed = true;
      }
    }
  }

  /** Returns the number of parts. */
  int size() {
    return byKey.size();
  }
}
