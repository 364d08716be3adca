package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.peer.RendezvousHashing;

/**
 * What this instance knows of the prompt parts that endpoints have cached, and the time that this
 * saves a request. Used on the event loop.
 *
 * <p>An instance knows what it has sent itself. So that the instances need not exchange this, each
 * of them prefers the same endpoints for a part that several requests share (its homes), chosen by
 * rendezvous hashing. The more requests share a part, the more homes it has; a part that half of
 * all requests share has no influence on the choice.
 */
public final class CachedPrompts {
  /**
   * Probability with which a part counts as cached at its homes, whether or not this instance has
   * sent it there. It is high, because with 0.5 each instance keeps to the endpoint that it
   * happened to use first, so that the engines hold many copies of few parts.
   */
  private static final double HOME_PROBABILITY = 0.9;

  /**
   * Processing time below which a prompt has no influence on the choice, in milliseconds: endpoints
   * whose times differ by less count as nearly equal, and instances that prefer the same ones for
   * short prompts collide there in a peak.
   */
  private static final double LEAST_PROMPT_MILLIS = 30;

  /** Fraction of the requests that share a part from which on it has no influence. */
  private static final double SPREAD_FRACTION = 0.5;

  /** Time for which an item of a batch job uses a slot, in milliseconds. */
  private static final double ITEM_SLOT_MILLIS = 4_500;

  /** Maximum number of parts at all endpoints, about 150 bytes each. */
  private static final int MAXIMUM_PARTS = 32_768;

  /** Bounds of the number of parts at one endpoint. */
  private static final int LEAST_PARTS = 8;

  private static final int MOST_PARTS = 1_024;

  /** Weight of the last request in the mean number of new tokens of a request. */
  private static final double WEIGHT = 0.05;

  /** Receives what is expected of each prompt that is sent. */
  @FunctionalInterface
  public interface TokenRecorder {
    /**
     * Records a prompt.
     *
     * @param cached number of its tokens that the endpoint has probably cached
     * @param uncached number of the others
     */
    void record(int cached, int uncached);
  }

  /** What is known of the prompts of one service. */
  private static final class ServicePrompts {
    private final PartPopularity popularity = new PartPopularity();
    private final PrefillRate prefillRate = new PrefillRate();

    /** Mean number of tokens of a request that were not cached before. */
    private double newTokens;
  }

  private final MonotonicClock clock;
  private final EndpointSpeeds speeds;
  private final Map<String, EndpointPrompts> byIncarnation = new HashMap<>();
  private final Map<String, ServicePrompts> byService = new HashMap<>();
  private Map<String, String> incarnationsByName = Map.of();
  private ToIntFunction<String> cacheTokens = service -> 0;
  private double leastPromptMillis = LEAST_PROMPT_MILLIS;
  private TokenRecorder recorder = (cached, uncached) -> {};

  /** Creates a table without parts. */
  CachedPrompts(MonotonicClock clock, EndpointSpeeds speeds) {
    this.clock = clock;
    this.speeds = speeds;
  }

  /**
   * Sets the sizes of the memories of endpoints; until then no endpoint has a cache.
   *
   * @param next returns the number of tokens that an endpoint of a service has memory for, 0 if it
   *     is unknown; not null
   */
  public void setCacheTokens(ToIntFunction<String> next) {
    cacheTokens = next;
  }

  /**
   * Sets the processing time below which a prompt has no influence, in milliseconds; {@link
   * #LEAST_PROMPT_MILLIS} until then. For comparisons of policies.
   */
  void setLeastPromptMillis(double millis) {
    leastPromptMillis = millis;
  }

  /** Sets the receiver of the expected numbers of tokens, not null. */
  public void setRecorder(TokenRecorder next) {
    recorder = next;
  }

  /**
   * Returns a new observer of a run that is sent to an endpoint now, and records its prompt.
   *
   * @param endpoint the endpoint, not null
   * @param prompt parts of the prompt, not null
   */
  public RunTiming begin(ServiceEndpoint endpoint, PromptPrefix prompt) {
    RunTiming timing = speeds.begin(endpoint);
    String incarnation = endpoint.incarnation();
    int tokens = cacheTokens.applyAsInt(endpoint.service());
    if (prompt.isEmpty() || tokens <= 0 || !incarnationsByName.containsValue(incarnation)) {
      return timing;
    }
    long now = clock.nanos();
    EndpointPrompts sent =
        byIncarnation.computeIfAbsent(incarnation, key -> new EndpointPrompts(now));
    ServicePrompts service = service(endpoint.service());
    double uncached = 0;
    for (int index = 0; index < prompt.size(); index++) {
      uncached += prompt.tokens(index) * (1 - sent.probability(prompt.key(index), tokens, now));
    }
    int uncachedTokens = (int) uncached;
    recorder.record(prompt.tokens() - uncachedTokens, uncachedTokens);
    service.newTokens += WEIGHT * (uncachedTokens - service.newTokens);
    service.popularity.add(prompt);
    sent.send(prompt, tokens, maximumParts(), now);
    timing.onFirstEvent(
        millis -> {
          sent.confirm(prompt);
          service.prefillRate.add(uncachedTokens, millis);
        });
    return timing;
  }

  /** Returns whether the size of the caches of a service is known, so that prompts matter. */
  boolean isUsed(String service) {
    return cacheTokens.applyAsInt(service) > 0;
  }

  private int maximumParts() {
    int share = MAXIMUM_PARTS / Math.max(1, incarnationsByName.size());
    return Math.max(LEAST_PARTS, Math.min(MOST_PARTS, share));
  }

  private ServicePrompts service(String name) {
    return byService.computeIfAbsent(name, key -> new ServicePrompts());
  }

  /** Discards the parts of all incarnations but those of the known endpoints. */
  void retain(Collection<ServiceEndpoint> endpoints) {
    incarnationsByName =
        endpoints.stream()
            .collect(Collectors.toMap(ServiceEndpoint::name, ServiceEndpoint::incarnation));
    byIncarnation.keySet().retainAll(incarnationsByName.values());
    byService.keySet().retainAll(endpoints.stream().map(ServiceEndpoint::service).toList());
  }

  /**
   * Discards the parts at an endpoint by its name: a run there was broken off, so that the endpoint
   * may have lost its cache.
   */
  void forget(String endpointName) {
    byIncarnation.remove(incarnationsByName.getOrDefault(endpointName, endpointName));
  }

  /** Returns the number of parts at all endpoints. */
  int size() {
    return byIncarnation.values().stream().mapToInt(EndpointPrompts::size).sum();
  }

  /**
   * Returns the loads of endpoints of one service with what each of them saves a request; the same
   * list if the prompt is short, or nothing is known of it or of the caches.
   *
   * @param loads loads of the endpoints
   * @param prompt parts of the prompt
   * @param ownLive returns the number of live requests of this instance at an endpoint by its name
   */
  List<EndpointLoad> withSavings(
      List<EndpointLoad> loads, PromptPrefix prompt, ToIntFunction<String> ownLive) {
    if (loads.isEmpty() || prompt.isEmpty()) {
      return loads;
    }
    String name = loads.get(0).endpoint().service();
    if (!isUsed(name)) {
      return loads;
    }
    int tokens = cacheTokens.applyAsInt(name);
    ServicePrompts service = service(name);
    countOthers(loads, service, speeds.runTimes(name).slotMillis(), ownLive);
    double millisPerToken = service.prefillRate.millisPerToken();
    if (millisPerToken * prompt.tokens() < leastPromptMillis) {
      return loads;
    }
    double[] weights = weights(prompt, service.popularity);
    // The homes count for free slots only.
    boolean anyFree = loads.stream().anyMatch(load -> load.startable() > 0);
    List<Set<String>> homes = anyFree ? homes(loads, prompt, service.popularity) : List.of();
    List<EndpointLoad> next = new ArrayList<>(loads.size());
    for (EndpointLoad load : loads) {
      double[] known = known(load, prompt, tokens - load.occupied() * service.newTokens);
      double[] likely = likely(load, prompt.size(), homes);
      double millisPerCachedToken = millisPerToken * load.slowness();
      next.add(
          load.withSaving(
              new PromptSaving(
                  millisPerCachedToken * cachedTokens(prompt, weights, known, likely),
                  millisPerCachedToken
                      * cachedTokens(prompt, weights, known, new double[prompt.size()]))));
    }
    return next;
  }

  /**
   * Counts the tokens that other instances have probably sent to endpoints, also for prompts
   * without influence: they evict parts all the same.
   */
  private void countOthers(
      List<EndpointLoad> loads,
      ServicePrompts service,
      double slotMillis,
      ToIntFunction<String> ownLive) {
    long now = clock.nanos();
    for (EndpointLoad load : loads) {
      EndpointPrompts sent = byIncarnation.get(load.endpoint().incarnation());
      if (sent != null) {
        double requestsPerMilli =
            (load.live() - ownLive.applyAsInt(load.endpoint().name())) / slotMillis
                + (load.batch() - load.ownBatch()) / ITEM_SLOT_MILLIS;
        sent.countOthers(Math.max(0, requestsPerMilli) * service.newTokens, now);
      }
    }
  }

  /** Returns the influence of each part on the choice, from 0 to 1. */
  private static double[] weights(PromptPrefix prompt, PartPopularity popularity) {
    double[] weights = new double[prompt.size()];
    for (int index = 0; index < weights.length; index++) {
      weights[index] = weight(popularity.fraction(prompt.key(index)));
    }
    return weights;
  }

  /**
   * Returns the influence of a part on the choice: 1 up to half of {@link #SPREAD_FRACTION}, and 0
   * from {@link #SPREAD_FRACTION} on.
   *
   * @param fraction fraction of the requests that share the part
   */
  static double weight(double fraction) {
    return Math.max(0, Math.min(1, 2 * (1 - fraction / SPREAD_FRACTION)));
  }

  /**
   * Returns the names of the homes of each part but the last, which no other request has. A part
   * has as many homes as its requests need if each endpoint gets equally many.
   */
  private static List<Set<String>> homes(
      List<EndpointLoad> loads, PromptPrefix prompt, PartPopularity popularity) {
    List<String> names = loads.stream().map(load -> load.endpoint().name()).toList();
    List<Set<String>> homes = new ArrayList<>();
    for (int index = 0; index < prompt.size() - 1; index++) {
      long key = prompt.key(index);
      int count = Math.max(1, (int) Math.ceil(popularity.fraction(key) * names.size()));
      List<String> ranked = RendezvousHashing.rank(Long.toHexString(key), names);
      homes.add(Set.copyOf(ranked.subList(0, count)));
    }
    return homes;
  }

  /** Returns the probabilities that the parts are cached, from what this instance has sent. */
  private double[] known(EndpointLoad load, PromptPrefix prompt, double room) {
    double[] known = new double[prompt.size()];
    EndpointPrompts sent = byIncarnation.get(load.endpoint().incarnation());
    if (sent != null) {
      long now = clock.nanos();
      for (int index = 0; index < known.length; index++) {
        known[index] = sent.probability(prompt.key(index), room, now);
      }
    }
    return known;
  }

  /** Returns the probabilities that the parts are cached because others have sent them. */
  private static double[] likely(EndpointLoad load, int size, List<Set<String>> homes) {
    double[] likely = new double[size];
    boolean home = false;
    // A home of a part has all parts before it as well.
    for (int index = homes.size() - 1; index >= 0; index--) {
      home |= homes.get(index).contains(load.endpoint().name());
      likely[index] = home ? HOME_PROBABILITY : 0;
    }
    return likely;
  }

  /**
   * Returns the expected number of cached tokens that count in the choice.
   *
   * @param prompt parts of the prompt
   * @param weights influence of each part, from 0 to 1
   * @param known probability of each part, from what this instance has sent
   * @param likely probability of each part, from what others have probably sent
   */
  static double cachedTokens(
      PromptPrefix prompt, double[] weights, double[] known, double[] likely) {
    double sum = 0;
    double allBefore = 1;
    for (int index = 0; index < prompt.size(); index++) {
      allBefore = Math.min(allBefore, Math.max(known[index], likely[index]));
      sum += prompt.tokens(index) * weights[index] * allBefore;
    }
    return sum;
  }
}
