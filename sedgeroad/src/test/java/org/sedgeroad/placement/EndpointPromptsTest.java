package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.PromptPrefix;

/** Guards against parts that count as cached although the endpoint must have evicted them. */
class EndpointPromptsTest {
  private static final int MEMORY = 10_000;

  private final EndpointPrompts prompts = new EndpointPrompts(0);

  private static PromptPrefix prompt(int tokens, String... ids) {
    return PromptPrefix.of(
        Arrays.stream(ids).map(id -> new PromptPrefix.Part(id, tokens)).toList());
  }

  private void send(PromptPrefix prompt) {
    prompts.send(prompt, MEMORY, 100, 0);
    prompts.confirm(prompt);
  }

  private double probability(PromptPrefix prompt, int index) {
    return prompts.probability(prompt.key(index), MEMORY, 0);
  }

  @Test
  void anotherBeginningIsAnotherPart() {
    send(prompt(1_000, "a", "b"));
    assertTrue(probability(prompt(1_000, "a", "c"), 0) > 0.7);
    assertEquals(0, probability(prompt(1_000, "c", "b"), 1));
  }

  @Test
  void partsBecomeLessLikelyWithEachTokenUsedAfterThem() {
    PromptPrefix first = prompt(2_000, "a");
    send(first);
    assertEquals(0.8, probability(first, 0), 1e-9);
    send(prompt(2_000, "b"));
    assertEquals(0.6, probability(first, 0), 1e-9);
    send(first);
    assertEquals(0.8, probability(first, 0), 1e-9);
  }

  @Test
  void leastRecentlyUsedPartsAreRemoved() {
    for (int number = 0; number < 50; number++) {
      send(prompt(1_000, "part-" + number));
    }
    assertEquals(10, prompts.size());
    assertEquals(0, probability(prompt(1_000, "part-39"), 0));
    assertTrue(probability(prompt(1_000, "part-49"), 0) > 0);
  }

  @Test
  void numberOfPartsIsBounded() {
    for (int number = 0; number < 50; number++) {
      prompts.send(prompt(1, "part-" + number), MEMORY, 8, 0);
    }
    assertEquals(8, prompts.size());
  }

  @Test
  void tokensOfOtherInstancesEvictPartsToo() {
    PromptPrefix sent = prompt(1_000, "a");
    send(sent);
    prompts.countOthers(1, 4_000_000_000L);
    assertEquals(0.5, probability(sent, 0), 1e-9);
    prompts.countOthers(1, 9_000_000_000L);
    assertEquals(0, probability(sent, 0));
  }

  @Test
  void runningRequestsLeaveLessRoom() {
    PromptPrefix sent = prompt(1_000, "a");
    send(sent);
    assertEquals(0.5, prompts.probability(sent.key(0), 2_000, 0), 1e-9);
    assertEquals(0, prompts.probability(sent.key(0), -5, 0));
  }

  /** A request that is broken off before its first event may not have been processed. */
  @Test
  void partsWithoutAnEventAreNotCached() {
    PromptPrefix sent = prompt(1_000, "a");
    prompts.send(sent, MEMORY, 100, 0);
    assertTrue(prompts.probability(sent.key(0), MEMORY, 500_000_000L) > 0);
    assertEquals(0, prompts.probability(sent.key(0), MEMORY, 1_500_000_000L));
  }
}
