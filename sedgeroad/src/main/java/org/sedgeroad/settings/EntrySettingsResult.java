package org.sedgeroad.settings;

import java.util.List;

/** The result of reading a settings file of an entry instance. */
public sealed interface EntrySettingsResult {

  /**
   * The file is valid.
   *
   * @param settings settings in the file
   */
  record Valid(EntrySettings settings) implements EntrySettingsResult {}

  /**
   * The file is not valid.
   *
   * @param faults all faults of the file, in file order
   */
  record Invalid(List<SettingsFault> faults) implements EntrySettingsResult {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
