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
import org.sedgeroad.settings.IniText.Unit;

/** Reads the INI settings files of gateway instances. Reports all faults of a file at once. */
public final class GatewaySettingsReader {
  private static final Map<String, Set<String>> KEYS =
      new TreeMap<>(
          Map.of(
              "instance", Set.of("name", "domain", "domains"),
              "listen", Set.of("clients", "readiness", "reports", "exchange", "metrics"),
              "store", Set.of("address", "timeout-millis", "object-bytes"),
              "endpoints", Set.of("connect-timeout-millis"),
              "jobs", Set.of("keep-seconds", "readable-seconds"),
              "stop", Set.of("notice-millis", "timeout-seconds"),
              "access",
                  Set.of(
                      "revoke-millis",
                      "quota-window-seconds",
                      "quota-tolerance",
                      "quota-tolerated-requests")));

  /**
   * Time that is reserved at the end of a planned stop for closing connections, in milliseconds, or
   * half of a shorter stop. It is a sixteenth of the default of {@code stop.timeout-seconds}.
   */
  private static final long CLOSE_MARGIN_MILLIS = 500;

  /**
   * Time for which jobs are kept, as a multiple of that for which their results must be readable:
   * clients may come back late, and jobs that ended are small.
   */
  private static final long KEPT_PER_READABLE_TIME = 10;

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
        ini.rounded("store", "object-bytes", 1_048_576, Unit.AT_MOST, 16_384, 1_073_741_824),
        ini.number("endpoints", "connect-timeout-millis", 250, 10, 60_000),
        keepJobMillis(ini),
        ini.number("stop", "notice-millis", 2_500, 0, 600_000),
        stopTimeoutMillis(ini),
        new AccessSettings(
            ini.rounded("access", "revoke-millis", 0, Unit.AT_MOST, 0, 3_600_000),
            new QuotaSettings(
                ini.rounded(
                    "access",
                    "quota-window-seconds",
                    QuotaSettings.DEFAULT.windowMillis(),
                    Unit.SECONDS_AT_MOST,
                    0.1,
                    3_600),
                ini.decimal("access", "quota-tolerance", QuotaSettings.DEFAULT.tolerance(), 1),
                ini.decimal(
                    "access",
                    "quota-tolerated-requests",
                    QuotaSettings.DEFAULT.toleratedRequests(),
                    1e6))));
  }

  /**
   * Returns the time for which a job is kept: {@code keep-seconds}, or a multiple of the time for
   * which its results must be readable.
   */
  private static long keepJobMillis(IniText ini) {
    long keepMillis =
        ini.rounded("jobs", "keep-seconds", 86_400_000, Unit.SECONDS_AT_LEAST, 1, 31_536_000);
    long readableMillis =
        ini.rounded("jobs", "readable-seconds", 0, Unit.SECONDS_AT_LEAST, 0.1, 3_153_600);
    return readableMillis > 0 ? readableMillis * KEPT_PER_READABLE_TIME : keepMillis;
  }

  private static long stopTimeoutMillis(IniText ini) {
    long stopMillis =
        ini.rounded("stop", "timeout-seconds", 8_000, Unit.SECONDS_AT_MOST, 0.1, 3_600);
    return stopMillis - Math.min(CLOSE_MARGIN_MILLIS, stopMillis / 2);
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
