package org.sedgeroad.settings;

import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ini4j.Config;
import org.ini4j.Ini;

/** Reads and checks settings files. Every fault of a file is found in one reading. */
public final class SettingsReader {
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

  private final String text;
  private final List<SettingsFault> faults = new ArrayList<>();
  private final Ini ini = new Ini();

  private SettingsReader(String text) {
    this.text = text;
  }

  /** Reads a file; a file that can't be read is a fault. */
  public static SettingsResult read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException failure) {
      return new SettingsResult.Invalid(
          List.of(new SettingsFault("", "", 0, "cannot read " + file + ": " + failure)));
    }
  }

  /** Parses the text of a settings file. */
  public static SettingsResult parse(String text) {
    return new SettingsReader(text).parse();
  }

  /** Returns the known keys by section. */
  static Map<String, Set<String>> keys() {
    return KEYS;
  }

  // -----------------------------------------------------------------------

  private SettingsResult parse() {
    try {
      Config config = new Config();
      config.setEscape(false);
      ini.setConfig(config);
      ini.load(new StringReader(text));
    } catch (IOException failure) {
      return new SettingsResult.Invalid(
          List.of(new SettingsFault("", "", 0, "not an INI file: " + failure.getMessage())));
    }
    findUnknownKeys();
    Settings settings = build();
    faults.sort(Comparator.comparingInt(SettingsFault::line));
    return faults.isEmpty()
        ? new SettingsResult.Valid(settings)
        : new SettingsResult.Invalid(faults);
  }

  private Settings build() {
    List<DomainSetting> domains = domains();
    URI store = address("store", "address", required("store", "address"), null);
    Settings settings =
        new Settings(
            required("instance", "name"),
            required("instance", "domain"),
            required("instance", "region"),
            socket("listen", "callers"),
            socket("listen", "operators"),
            socket("listen", "peers"),
            seeds(),
            domains,
            store,
            address("store", "instance-list", value("store", "instance-list"), store),
            number("store", "timeout-millis", 2_000, 10, 60_000),
            number("store", "lease-millis", 6_000, 500, 60_000),
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
            number("regions", "link-bytes-per-second", 2_500_000, 1_000, 12_500_000_000L),
            (int) number("threads", "io", 2, 1, 64),
            (int) number("threads", "workers", 128, 4, 4_096),
            number("requests", "maximum-body-bytes", 4_194_304, 1_024, 1_073_741_824),
            number("requests", "timeout-millis", 600_000, 100, 86_400_000),
            number("stop", "notice-millis", 1_000, 0, 600_000),
            number("stop", "timeout-millis", 60_000, 100, 3_600_000),
            Optional.ofNullable(value("operators", "token-file")));
    boolean known =
        domains.isEmpty()
            || domains.contains(new DomainSetting(settings.domain(), settings.region()));
    if (!known) {
      fault("instance", "domain", "is not in [peers] domains with this region");
    }
    return settings;
  }

  private void findUnknownKeys() {
    ini.forEach(
        (section, entries) -> {
          Set<String> known = KEYS.get(section);
          if (known == null) {
            fault(section, "", "unknown section; known: " + String.join(", ", KEYS.keySet()));
            return;
          }
          for (String key : entries.keySet()) {
            if (!known.contains(key)) {
              fault(section, key, "unknown key; known: " + String.join(", ", sorted(known)));
            } else if (entries.getAll(key).size() > 1) {
              fault(section, key, "given more than once");
            }
          }
        });
  }

  private static List<String> sorted(Set<String> keys) {
    return keys.stream().sorted().toList();
  }

  private List<DomainSetting> domains() {
    List<DomainSetting> domains = new ArrayList<>();
    for (String part : list("peers", "domains")) {
      String[] pair = part.split(":", -1);
      if (pair.length != 2 || pair[0].isBlank() || pair[1].isBlank()) {
        fault("peers", "domains", "expected DOMAIN:REGION, found '" + part + "'");
      } else {
        domains.add(new DomainSetting(pair[0].strip(), pair[1].strip()));
      }
    }
    return domains;
  }

  private List<InetSocketAddress> seeds() {
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (String part : list("peers", "seeds")) {
      parseSocket(part)
          .ifPresentOrElse(
              seeds::add, () -> fault("peers", "seeds", "expected IP:PORT, found '" + part + "'"));
    }
    return seeds;
  }

  private List<String> list(String section, String key) {
    String value = value(section, key);
    return value == null
        ? List.of()
        : Arrays.stream(value.split(",")).map(String::strip).filter(s -> !s.isEmpty()).toList();
  }

  // -----------------------------------------------------------------------

  private String value(String section, String key) {
    String value = ini.get(section, key);
    return value == null || value.isBlank() ? null : value.strip();
  }

  private String required(String section, String key) {
    String value = value(section, key);
    if (value == null) {
      fault(section, key, "is required");
      return "";
    }
    return value;
  }

  private InetSocketAddress socket(String section, String key) {
    String value = required(section, key);
    Optional<InetSocketAddress> address = parseSocket(value);
    if (address.isEmpty() && !value.isEmpty()) {
      fault(section, key, "expected IP:PORT, found '" + value + "'");
    }
    return address.orElse(null);
  }

  private static Optional<InetSocketAddress> parseSocket(String value) {
    int colon = value.lastIndexOf(':');
    if (colon <= 0 || !value.substring(0, colon).matches("[0-9a-fA-F.:\\[\\]]+")) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      return Optional.of(new InetSocketAddress(value.substring(0, colon), port));
    } catch (IllegalArgumentException failure) {
      return Optional.empty();
    }
  }

  private URI address(String section, String key, String value, URI fallback) {
    if (value == null || value.isEmpty()) {
      return fallback;
    }
    if (!value.matches("https?://[^/\\s]+:[0-9]{1,5}")) {
      fault(section, key, "expected http://IP:PORT, found '" + value + "'");
      return fallback;
    }
    return URI.create(value);
  }

  private long number(String section, String key, long fallback, long least, long most) {
    String value = value(section, key);
    if (value == null) {
      return fallback;
    }
    try {
      long number = Long.parseLong(value);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException failure) {
      // Reported below together with numbers out of range.
    }
    fault(
        section,
        key,
        "expected a whole number from " + least + " to " + most + ", found '" + value + "'");
    return fallback;
  }

  private String choice(String key, String fallback, String... choices) {
    String value = value("policy", key);
    if (value == null) {
      return fallback;
    }
    if (!List.of(choices).contains(value)) {
      fault("policy", key, "expected " + String.join(", ", choices) + "; found '" + value + "'");
    }
    return value;
  }

  private void fault(String section, String key, String message) {
    faults.add(new SettingsFault(section, key, lineOf(section, key), message));
  }

  /** Finds the line of a key; ini4j does not keep line numbers. */
  private int lineOf(String section, String key) {
    String current = "";
    int number = 0;
    int sectionLine = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      String stripped = line.strip();
      if (stripped.startsWith("[") && stripped.endsWith("]")) {
        current = stripped.substring(1, stripped.length() - 1);
        sectionLine = current.equals(section) ? number : sectionLine;
      } else if (current.equals(section)
          && !key.isEmpty()
          && stripped.split("[=:]", 2)[0].strip().equals(key)) {
        return number;
      }
    }
    return key.isEmpty() ? sectionLine : 0;
  }
}
