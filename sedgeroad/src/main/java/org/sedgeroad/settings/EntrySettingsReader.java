package org.sedgeroad.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Reads the INI settings files of entry instances. Reports all faults of a file at once. */
public final class EntrySettingsReader {
  private static final Map<String, Set<String>> KEYS =
      new TreeMap<>(
          Map.of(
              "instance", Set.of("name", "domain", "region"),
              "listen", Set.of("callers", "operators", "peers"),
              "peers", Set.of("seeds", "domains"),
              "store", Set.of("address", "instance-list", "timeout-millis", "lease-millis"),
              "policy", Set.of("routing", "batch", "hedging", "spill"),
              "regions", Set.of("link-bytes-per-second"),
              "threads", Set.of("io", "workers"),
              "requests", Set.of("maximum-body-bytes", "timeout-millis"),
              "stop", Set.of("notice-millis", "timeout-millis"),
              "operators", Set.of("token-file")));

  private final IniText ini;

  private EntrySettingsReader(IniText ini) {
    this.ini = ini;
  }

  /** Reads a settings file. A file that can't be read is a fault. */
  public static EntrySettingsResult read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException failure) {
      return new EntrySettingsResult.Invalid(
          List.of(new SettingsFault("", "", 0, "cannot read " + file + ": " + failure)));
    }
  }

  /** Parses the text of a settings file. */
  public static EntrySettingsResult parse(String text) {
    return new EntrySettingsReader(IniText.parse(text)).parse();
  }

  /** Returns the known keys by section. */
  static Map<String, Set<String>> keys() {
    return KEYS;
  }

  private EntrySettingsResult parse() {
    if (!ini.faults().isEmpty()) {
      return new EntrySettingsResult.Invalid(ini.faults());
    }
    ini.checkKeys(KEYS);
    EntrySettings settings = build();
    return ini.faults().isEmpty()
        ? new EntrySettingsResult.Valid(settings)
        : new EntrySettingsResult.Invalid(ini.faults());
  }

  private EntrySettings build() {
    List<DomainSetting> domains = domains();
    URI store = ini.address("store", "address", ini.required("store", "address"), null);
    EntrySettings settings =
        new EntrySettings(
            ini.required("instance", "name"),
            ini.required("instance", "domain"),
            ini.required("instance", "region"),
            ini.socket("listen", "callers"),
            ini.socket("listen", "operators"),
            ini.socket("listen", "peers"),
            seeds(),
            domains,
            store,
            ini.address("store", "instance-list", ini.value("store", "instance-list"), store),
            ini.number("store", "timeout-millis", 2_000, 10, 60_000),
            ini.number("store", "lease-millis", 6_000, 500, 60_000),
            choice(
                "routing",
                "least-cost",
                "round-robin",
                "least-outstanding",
                "least-cost",
                "least-cost-affinity"),
            choice("batch", "headroom", "headroom", "as-it-comes"),
            choice("hedging", "budgeted", "budgeted", "none"),
            choice("spill", "deadline", "deadline", "none"),
            ini.number("regions", "link-bytes-per-second", 2_500_000, 1_000, 12_500_000_000L),
            (int) ini.number("threads", "io", 2, 1, 64),
            (int) ini.number("threads", "workers", 128, 4, 4_096),
            ini.number("requests", "maximum-body-bytes", 4_194_304, 1_024, 1_073_741_824),
            ini.number("requests", "timeout-millis", 600_000, 100, 86_400_000),
            ini.number("stop", "notice-millis", 1_000, 0, 600_000),
            ini.number("stop", "timeout-millis", 60_000, 100, 3_600_000),
            Optional.ofNullable(ini.value("operators", "token-file")));
    boolean domainListed =
        domains.isEmpty()
            || domains.contains(new DomainSetting(settings.domain(), settings.region()));
    if (!domainListed) {
      ini.addFault("instance", "domain", "is not in [peers] domains with this region");
    }
    return settings;
  }

  private List<DomainSetting> domains() {
    List<DomainSetting> domains = new ArrayList<>();
    for (String part : ini.list("peers", "domains")) {
      String[] pair = part.split(":", -1);
      if (pair.length != 2 || pair[0].isBlank() || pair[1].isBlank()) {
        ini.addFault("peers", "domains", "expected DOMAIN:REGION, found '" + part + "'");
      } else {
        domains.add(new DomainSetting(pair[0].strip(), pair[1].strip()));
      }
    }
    return domains;
  }

  private List<InetSocketAddress> seeds() {
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (String part : ini.list("peers", "seeds")) {
      IniText.parseSocket(part)
          .ifPresentOrElse(
              seeds::add,
              () -> ini.addFault("peers", "seeds", "expected IP:PORT, found '" + part + "'"));
    }
    return seeds;
  }

  private String choice(String key, String fallback, String... choices) {
    String value = ini.value("policy", key);
    if (value == null) {
      return fallback;
    }
    if (!List.of(choices).contains(value)) {
      ini.addFault(
          "policy", key, "expected " + String.join(", ", choices) + "; found '" + value + "'");
    }
    return value;
  }
}
