package org.sedgeroad.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/** Reloads the settings of a running gateway instance. */
public final class GatewaySettingsReload {
  private GatewaySettingsReload() {}

  /**
   * Reloads a settings file.
   *
   * @param file path of the file
   * @param current settings in force until now
   * @param log receives one event with the result
   * @return the settings in force from now on: {@code current} if the file has faults, otherwise
   *     {@code current} with those values of the file that can change while an instance is running
   */
  public static GatewaySettings read(Path file, GatewaySettings current, EventLog log) {
    List<SettingsFault> faults = new ArrayList<>();
    GatewaySettings next = GatewaySettingsReader.read(file, faults::add);
    if (next == null) {
      log.log(LogEvent.SETTINGS_KEPT, EventField.of("faults", faults));
      return current;
    }
    GatewaySettings merged = current.withReloaded(next);
    log.log(
        LogEvent.SETTINGS_READ_AGAIN,
        EventField.of("changed", !merged.equals(current)),
        EventField.of("restart_needed", !merged.equals(next)));
    return merged;
  }
}
