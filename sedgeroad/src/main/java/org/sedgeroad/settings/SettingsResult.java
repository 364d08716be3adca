package org.sedgeroad.settings;

import java.util.List;

/** Outcome of reading a settings file. */
public sealed interface SettingsResult {

  /**
   * The file has no fault.
   *
   * @param settings the settings
   */
  record Valid(Settings settings) implements SettingsResult {}

  /**
   * The file has faults.
   *
   * @param faults every fault found, in file order
   */
  record Invalid(List<SettingsFault> faults) implements SettingsResult {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
