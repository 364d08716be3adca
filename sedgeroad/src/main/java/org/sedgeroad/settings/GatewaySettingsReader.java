package org.sedgeroad.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Reads the INI settings files of gateway instances. Reports all faults of a file at once. */
public final class GatewaySettingsReader {
  private static final Map<String, Set<String>> KEYS =
      new TreeMap<>(
          Map.of(
              "instance", Set.of("name", "domain", "domains"),
              "listen", Set.of("clients", "readiness", "reports", "exchange", "metrics"),
              "store", Set.of("address", "timeout-millis", "object-bytes"),
              "endpoints", Set.of("connect-timeout-millis"),
              "jobs", Set.of("keep-seconds"),
              "stop", Set.of("notice-millis", "timeout-seconds"),
              "access",
                  Set.of(
                      "revoke-millis",
                      "quota-window-seconds",
                      "quota-tolerance",
                      "quota-tolerated-requests")));

  /**
   * Time that is reserved at the end of a planned stop for closing connections, in milliseconds. It
   * is a sixteenth of the default of {@code stop.timeout-seconds}.
   */
  private static final long CLOSE_MARGIN_MILLIS = 500;

  private GatewaySettingsReader() {}

  /**
   * Reads a settings file. Reports a fault if the file can't be read.
   *
   * @param file path of the file
   * @param faults receives each fault
   * @return the settings, null if there is any fault
   */
  public static GatewaySettings read(Path file, Consumer<SettingsFault> faults) {
    try {
      return parse(Files.readString(file), faults);
    } catch (IOException failure) {
      faults.accept(new SettingsFault("", "", 0, "cannot read " + file + ": " + failure));
      return null;
    }
  }

  /**
   * Parses the text of a settings file.
   *
   * @param text text in INI format
   * @param faults receives each fault, in file order
   * @return the settings, null if there is any fault
   */
  public static GatewaySettings parse(String text, Consumer<SettingsFault> faults) {
    IniText ini = IniText.parse(text);
    GatewaySettings settings = null;
    if (ini.faults().isEmpty()) {
      ini.checkKeys(KEYS);
      settings = build(ini);
    }
    ini.faults().forEach(faults);
    return ini.faults().isEmpty() ? settings : null;
  }

  private static GatewaySettings build(IniText ini) {
    return new GatewaySettings(
        ini.required("instance", "name"),
        ini.required("instance", "domain"),
        domains(ini),
        ini.socket("listen", "clients"),
        ini.socket("listen", "readiness"),
        ini.socket("listen", "reports"),
        ini.socket("listen", "exchange"),
        ini.socket("listen", "metrics"),
        ini.address("store", "address", ini.required("store", "address"), null),
        ini.number("store", "timeout-millis", 1_500, 10, 60_000),
        ini.number("store", "object-bytes", 1_048_576, 16_384, 1_073_741_824),
        ini.number("endpoints", "connect-timeout-millis", 250, 10, 60_000),
        ini.number("jobs", "keep-seconds", 86_400, 1, 31_536_000) * 1_000,
        ini.number("stop", "notice-millis", 2_500, 0, 600_000),
        ini.number("stop", "timeout-seconds", 8, 1, 3_600) * 1_000 - CLOSE_MARGIN_MILLIS,
        new AccessSettings(
            ini.number("access", "revoke-millis", 0, 0, 3_600_000),
            new QuotaSettings(
                ini.millisOfSeconds(
                    "access",
                    "quota-window-seconds",
                    QuotaSettings.DEFAULT.windowMillis(),
                    100,
                    3_600_000),
                ini.decimal("access", "quota-tolerance", QuotaSettings.DEFAULT.tolerance(), 1),
                ini.decimal(
                    "access",
                    "quota-tolerated-requests",
                    QuotaSettings.DEFAULT.toleratedRequests(),
                    1e6))));
  }

  private static List<DomainSetting> domains(IniText ini) {
    List<DomainSetting> domains = new ArrayList<>();
    for (String part : ini.list("instance", "domains")) {
      String[] pair = part.split(":", -1);
      if (pair.length != 2 || pair[0].isBlank() || pair[1].isBlank()) {
        ini.addFault("instance", "domains", "expected DOMAIN:REGION, found '" + part + "'");
      } else {
        domains.add(new DomainSetting(pair[0].strip(), pair[1].strip()));
      }
    }
    return domains;
  }
}
