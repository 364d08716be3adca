package org.sedgeroad.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/** Reads the settings of a running instance again. */
public final class SettingsReload {
  private SettingsReload() {}

  /**
   * Returns the settings in force after a file was read again; the current ones if it has faults.
   *
   * @param file the file
   * @param current the settings in force
   * @param log receives one line that says what was found
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
