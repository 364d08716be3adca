package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.LoadReportTable;

/** Guards against savings where nothing is cached, and against savings that decide too much. */
class CachedPromptsTest {
  private static final String SERVICE = "engine";
  private static final PromptPrefix LONG = prompt("shared", 15_000);

  private final VirtualTime time = new VirtualTime();
  private final CachedPrompts prompts = new CachedPrompts(time, new EndpointSpeeds(time));

  private static PromptPrefix prompt(String shared, int tokens) {
    return PromptPrefix.of(
        List.of(new PromptPrefix.Part(shared, tokens), new PromptPrefix.Part("own", 100)));
  }

  private static ServiceEndpoint endpoint(String name, long started) {
    return new ServiceEndpoint(name, SERVICE, "10.0.0.1:80", "domain", 8, false, started);
  }

  private static EndpointLoad load(String name, int live, boolean suspect) {
    return new EndpointLoad(
        endpoint(name, 1), EndpointLoad.Distance.SAME_DOMAIN, live, 0, 0, suspect);
  }

  private static EndpointLoad saving(EndpointLoad load, double millis) {
    return load.withSaving(new PromptSaving(millis, millis));
  }

  @BeforeEach
  void know() {
    prompts.setCacheTokens(service -> 72_000);
    prompts.retain(List.of(endpoint("a", 1), endpoint("b", 1)));
  }

  private void send(String endpoint, PromptPrefix prompt) {
    prompts.begin(endpoint(endpoint, 1), prompt).received(1);
  }

  private PromptSaving savingAt(String endpoint, PromptPrefix prompt) {
    List<EndpointLoad> loads = List.of(load("a", 0, false), load("b", 0, false));
    return prompts.withSavings(loads, prompt, name -> 0).stream()
        .filter(load -> load.endpoint().name().equals(endpoint))
        .findFirst()
        .orElseThrow()
        .saving();
  }

  @Nested
  class Saving {
    @Test
    void isThatOfThePartsThatWereSent() {
      send("a", LONG);
      double expected = 15_000 * PrefillRate.INITIAL;
      assertEquals(expected, savingAt("a", LONG).knownMillis(), 0.3 * expected);
      assertEquals(0, savingAt("b", LONG).knownMillis());
      assertEquals(0, savingAt("a", prompt("other", 15_000)).knownMillis());
    }

    @Test
    void isSmallForASmallPart() {
      PromptPrefix prompt =
          PromptPrefix.of(
              List.of(
                  new PromptPrefix.Part("short", 200), new PromptPrefix.Part("unshared", 2_000)));
      send("a", PromptPrefix.of(List.of(new PromptPrefix.Part("short", 200))));
      double millis = savingAt("a", prompt).millis();
      assertTrue(millis > 2 && millis < 5, millis + " ms");
    }

    /** At the usual 0.015 ms a token, 1,000 tokens take 15 ms. */
    @Test
    void ofAShortPromptDoesNotCount() {
      send("a", prompt("short", 900));
      assertEquals(PromptSaving.NONE, savingAt("a", prompt("short", 900)));
    }

    @Test
    void ofAnotherIncarnationIsDiscarded() {
      send("a", LONG);
      prompts.retain(List.of(endpoint("a", 2), endpoint("b", 1)));
      assertEquals(0, savingAt("a", LONG).knownMillis());
      assertEquals(0, prompts.size());
    }

    @Test
    void isDiscardedWhenARunWasBrokenOff() {
      EndpointHealth health = new EndpointHealth();
      health.setFailureListener(prompts::forget);
      send("a", LONG);
      health.recordBrokenAnswer("a", time.nanos());
      assertEquals(0, savingAt("a", LONG).knownMillis());
    }

    @Test
    void ofAPartThatHalfOfAllRequestsShareDoesNotCount() {
      for (int number = 0; number < 300; number++) {
        send("a", number % 2 == 0 ? LONG : prompt("part-" + number, 100));
      }
      assertTrue(savingAt("a", LONG).millis() < 15, savingAt("a", LONG).toString());
      assertEquals(1, CachedPrompts.weight(0.25));
      assertEquals(0, CachedPrompts.weight(0.5));
    }

    /** The instances must prefer the same endpoint although they exchange nothing. */
    @Test
    void isExpectedAtTheSameEndpointByEachInstance() {
      CachedPrompts other = new CachedPrompts(time, new EndpointSpeeds(time));
      other.setCacheTokens(service -> 72_000);
      List<EndpointLoad> loads = List.of(load("b", 3, false), load("a", 2, false));
      List<EndpointLoad> theirs = other.withSavings(loads, LONG, name -> 0);
      assertEquals(savingAt("b", LONG), theirs.get(0).saving());
      assertEquals(savingAt("a", LONG), theirs.get(1).saving());
      assertTrue(theirs.get(0).saving().millis() > 0 ^ theirs.get(1).saving().millis() > 0);
    }
  }

  /** Guards against changed choices in deployments that do not use cached prompts. */
  /** Guards against a metric from which an operator would conclude that caches are not used. */
  @Nested
  class Record {
    private int cached;
    private int uncached;

    @Test
    void countsTheTokensOfAPromptThatIsSentAgainAsCached() {
      prompts.setRecorder(
          (more, less) -> {
            cached += more;
            uncached += less;
          });
      send("a", LONG);
      assertEquals(0, cached);
      assertEquals(15_100, uncached);
      send("a", LONG);
      assertTrue(cached > 0.7 * 15_100, cached + " tokens");
      assertEquals(2 * 15_100, cached + uncached);
    }
  }

  /** Guards against parts that count as cached although other instances have sent many prompts. */
  @Nested
  class PromptsOfOtherInstances {
    private double cached;

    @Test
    void evictThePartsOfShortPrompts() {
      PromptPrefix prompt = prompt("short", 900);
      send("a", prompt);
      for (int second = 0; second < 200; second++) {
        time.runUntil(time.nanos() / 1_000_000L + 1_000);
        prompts.withSavings(List.of(load("a", 8, false)), prompt, name -> 0);
      }
      prompts.setRecorder((more, less) -> cached = more);
      send("a", prompt);
      assertEquals(0, cached);
    }
  }

  @Nested
  class WithoutPromptsOrCacheSizes {
    private final List<EndpointLoad> loads = List.of(load("a", 0, false), load("b", 0, false));

    @Test
    void loadsAreTheSame() {
      send("a", LONG);
      assertSame(loads, prompts.withSavings(loads, PromptPrefix.NONE, name -> 0));
      prompts.setCacheTokens(service -> 0);
      assertSame(loads, prompts.withSavings(loads, LONG, name -> 0));
    }

    @Test
    void nothingIsKept() {
      prompts.setCacheTokens(service -> 0);
      send("a", LONG);
      send("a", PromptPrefix.NONE);
      assertEquals(0, prompts.size());
    }
  }

  @Nested
  class Choice {
    private String choose(EndpointLoad... loads) {
      double[] random = {0};
      int[] chosen = new int[loads.length];
      for (int number = 0; number < 1_000; number++) {
        random[0] = (number + 0.5) / 1_000;
        Optional<LiveChoice> choice =
            LivePlacement.choose(List.of(loads), false, RunTimes.UNKNOWN, () -> random[0]);
        chosen[choice.orElseThrow().endpoint().name().charAt(0) - 'a']++;
      }
      return chosen[0] > 900 ? "a" : chosen[0] < 100 ? "b" : "any";
    }

    @Test
    void isTheHolderOfALongPrompt() {
      assertEquals("a", choose(saving(load("a", 6, false), 250), load("b", 0, false)));
    }

    /** A place in the queue of an endpoint takes 88 ms with {@link RunTimes#UNKNOWN}. */
    @Test
    void isTheQueueOnlyIfItCostsLessThanIsSaved() {
      assertEquals("b", choose(saving(load("a", 8, false), 80), load("b", 0, false)));
      assertEquals("a", choose(saving(load("a", 8, false), 250), load("b", 4, false)));
      assertEquals("b", choose(saving(load("a", 9, false), 170), load("b", 4, false)));
    }

    @Test
    void isHardlyChangedByAShortPrompt() {
      assertEquals("any", choose(saving(load("a", 4, false), 4), load("b", 4, false)));
    }

    @Test
    void isNoSuspectHolder() {
      assertEquals("b", choose(saving(load("a", 0, true), 250), load("b", 7, false)));
    }

    @Test
    void isNoHolderWithALimitedRateWhileOthersHaveFreeSlots() {
      EndpointLoad limited =
          new EndpointLoad(
              endpoint("a", 1), EndpointLoad.Distance.SAME_DOMAIN, 0, 0, 0, false, 5, 1);
      assertEquals("b", choose(saving(limited, 250), load("b", 7, false)));
    }

    @Test
    void ofAnItemIsATieBreaker() {
      List<EndpointLoad> equal = List.of(load("b", 4, false), saving(load("a", 4, false), 250));
      assertEquals("b", BatchPlacement.choose(equal, 0.2).orElseThrow().endpoint().name());
      assertEquals("a", BatchPlacement.choose(equal, 0.3).orElseThrow().endpoint().name());
      List<EndpointLoad> full = List.of(load("b", 0, false), saving(load("a", 6, false), 250));
      assertEquals("b", BatchPlacement.choose(full, 0.9).orElseThrow().endpoint().name());
    }
  }

  /** Guards against prompts that the dispatcher does not pass on. */
  @Nested
  class InTheDispatcher {
    private final Dispatcher dispatcher =
        new Dispatcher(
            "instance", "domain", key -> "region", new LoadReportTable(), time, () -> 0.3);
    private String chosen = "";

    /** A prompt that no other request shares, so that no endpoint is preferred for it at first. */
    private static final PromptPrefix SESSION =
        PromptPrefix.of(List.of(new PromptPrefix.Part("session", 15_000)));

    @BeforeEach
    void setEndpoints() {
      dispatcher.prompts().setCacheTokens(service -> 72_000);
      dispatcher.setEndpoints(List.of(endpoint("b", 1), endpoint("a", 1)), List.of());
      dispatcher.prompts().begin(endpoint("a", 1), SESSION).received(1);
    }

    private String submit(PromptPrefix prompt) {
      dispatcher.submit(
          LiveDemand.of(
                  SERVICE,
                  "",
                  0,
                  time.nanos() + 300_000_000L,
                  time.nanos() + 5_000_000_000L,
                  Set.of(),
                  endpoint -> chosen = endpoint.name())
              .withPrompt(prompt));
      return chosen;
    }

    @Test
    void aRequestGoesToTheHolder() {
      assertEquals("a", submit(SESSION));
      assertEquals("b", submit(PromptPrefix.NONE));
    }

    @Test
    void aWaitingRequestGoesToTheHolderToo() {
      for (int number = 0; number < 20; number++) {
        submit(PromptPrefix.NONE);
      }
      chosen = "";
      assertEquals("", submit(SESSION));
      dispatcher.setEndpoints(
          List.of(endpoint("b", 1).withSlots(16), endpoint("a", 1).withSlots(16)), List.of());
      assertEquals("a", chosen);
    }

    @Test
    void aRequestGoesToNoHolderThatDrains() {
      ServiceEndpoint draining =
          new ServiceEndpoint("a", SERVICE, "10.0.0.1:80", "domain", 8, true, 1);
      dispatcher.setEndpoints(List.of(endpoint("b", 1), draining), List.of());
      assertEquals("b", submit(SESSION));
    }

    @Test
    void aBrokenRunEndsThePreference() {
      dispatcher.health().recordBrokenAnswer("a", time.nanos());
      assertEquals(0, dispatcher.prompts().size());
    }

    @Test
    void anItemGoesToTheHolder() {
      dispatcher.setBatchSource(new OneItem(SESSION));
      dispatcher.refresh();
      assertEquals("a", chosen);
    }

    private final class OneItem implements BatchSource {
      private final PromptPrefix prompt;

      OneItem(PromptPrefix prompt) {
        this.prompt = prompt;
      }

      @Override
      public Map<BatchQueue, Integer> ready() {
        return chosen.isEmpty() ? Map.of(BatchQueue.onTime(SERVICE), 1) : Map.of();
      }

      @Override
      public PromptPrefix nextPrompt(String service) {
        return prompt;
      }

      @Override
      public boolean startNext(ServiceEndpoint endpoint) {
        chosen = endpoint.name();
        return true;
      }

      @Override
      public boolean preempt(String endpoint) {
        return false;
      }
    }
  }

  /** Guards against popular parts that stay at few endpoints, and rare ones that are spread. */
  @Nested
  class Popularity {
    private final PartPopularity popularity = new PartPopularity();

    private double fractionAfter(int requests, int every) {
      for (int number = 0; number < requests; number++) {
        popularity.add(number % every == 0 ? LONG : prompt("part-" + number, 100));
      }
      return popularity.fraction(LONG.key(0));
    }

    @Test
    void ofANewPartThatAllRequestsShareIsKnownAfterAFewRequests() {
      assertEquals(0, fractionAfter(1, 1));
      assertEquals(1, fractionAfter(20, 1), 0.1);
    }

    @Test
    void isTheFractionOfTheRequests() {
      assertEquals(0.1, fractionAfter(500, 10), 0.02);
      assertEquals(0, popularity.fraction(prompt("part-499", 100).key(0)));
      assertEquals(0, popularity.fraction(prompt("unknown", 100).key(0)));
    }
  }

  /** Guards against a rate that follows noise, or the waits inside endpoints. */
  @Nested
  class Rate {
    private final PrefillRate rate = new PrefillRate();

    @Test
    void isThatOfLongPrompts() {
      for (int number = 0; number < 200; number++) {
        int tokens = number % 3 == 0 ? 16_000 : 1_000;
        rate.add(tokens, 10 + tokens / 85.2 + (number % 10 == 0 ? 400 : 0));
      }
      assertEquals(1 / 85.2, rate.millisPerToken(), 0.2 / 85.2);
    }

    @Test
    void remainsWithPromptsOfTheSameSize() {
      for (int number = 0; number < 200; number++) {
        rate.add(440 + number % 20, number % 7 == 0 ? 200 : 15);
      }
      assertEquals(PrefillRate.INITIAL, rate.millisPerToken(), 0.2 * PrefillRate.INITIAL);
    }
  }
}
