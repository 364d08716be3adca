package org.sedgeroad.testing.deployment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Size, names and settings of a deployment.
 *
 * @param member name of the member; its key is {@code key-} followed by the name
 * @param model name of the model, which is also the name of its service
 * @param service name of the plain service; its path is {@code /} followed by the name
 * @param slots number of requests that an engine runs at the same time
 * @param domains failure domains
 * @param engineOptions additional command line options of the engine stand-ins
 * @param settings settings by {@code section.key} that replace the defaults
 */
public record DeploymentPlan(
    String member,
    String model,
    String service,
    int slots,
    List<DomainPlan> domains,
    List<String> engineOptions,
    Map<String, String> settings) {

  /** Makes immutable copies of the collections. */
  public DeploymentPlan {
    domains = List.copyOf(domains);
    engineOptions = List.copyOf(engineOptions);
    settings = Map.copyOf(settings);
  }

  /**
   * Returns the plan of the demo: two failure domains with one entry instance, two engines and one
   * plain service endpoint each.
   */
  public static DeploymentPlan demo() {
    return of(
        "taller-lenga",
        "tallador-lm",
        "pedidos-app",
        List.of(
            new DomainPlan("neuquen-a", "patagonia-norte", 1, 2, 1),
            new DomainPlan("neuquen-b", "patagonia-norte", 1, 2, 1)));
  }

  /** Returns the plan of Taller Lenga's deployment at its current size. */
  public static DeploymentPlan tallerLenga() {
    return of(
        "taller-lenga",
        "tallador-lm",
        "pedidos-app",
        List.of(
            new DomainPlan("neuquen-a", "patagonia-norte", 3, 3, 1),
            new DomainPlan("neuquen-b", "patagonia-norte", 3, 3, 1),
            new DomainPlan("mendoza-a", "cuyo", 3, 2, 1)));
  }

  /** Returns the plan of Casa Quetzal's deployment at its current size. */
  public static DeploymentPlan casaQuetzal() {
    return of(
        "casa-quetzal",
        "quetzal-lm",
        "quetzal-pages",
        List.of(
            new DomainPlan("central-a", "guate-central", 3, 3, 1),
            new DomainPlan("central-b", "guate-central", 3, 3, 1),
            new DomainPlan("occidente-a", "xela-occidente", 3, 2, 1)));
  }

  private static DeploymentPlan of(
      String member, String model, String service, List<DomainPlan> domains) {
    return new DeploymentPlan(
        member,
        model,
        service,
        8,
        domains,
        List.of("--token-millis", "10", "--prefill-micros", "50"),
        Map.of("stop.notice-millis", "200", "stop.timeout-millis", "20000"));
  }

  /**
   * Returns a copy with one setting added or replaced; the key has the form {@code section.key}.
   */
  public DeploymentPlan withSetting(String key, String value) {
    Map<String, String> more = new LinkedHashMap<>(settings);
    more.put(key, value);
    return new DeploymentPlan(member, model, service, slots, domains, engineOptions, more);
  }

  /** Returns a copy with another number of slots per engine. */
  public DeploymentPlan withSlots(int count) {
    return new DeploymentPlan(member, model, service, count, domains, engineOptions, settings);
  }

  /** Returns a copy with more engine options; later options override earlier ones. */
  public DeploymentPlan withEngineOptions(String... options) {
    List<String> more = new ArrayList<>(engineOptions);
    more.addAll(List.of(options));
    return new DeploymentPlan(member, model, service, slots, domains, more, settings);
  }

  /** Returns a copy with other failure domains. */
  public DeploymentPlan withDomains(DomainPlan... changed) {
    return new DeploymentPlan(
        member, model, service, slots, List.of(changed), engineOptions, settings);
  }

  /** Returns the member's key. */
  public String key() {
    return "key-" + member;
  }
}
