package org.sedgeroad.daemon;

import java.nio.file.Path;
import java.util.Optional;
import org.sedgeroad.settings.EntrySettings;
import org.sedgeroad.settings.EntrySettingsReader;
import org.sedgeroad.settings.EntrySettingsResult;

/** Reads settings files for subcommands and prints the faults in them. */
final class SettingsFiles {
  private SettingsFiles() {}

  /** Returns the settings of a file; empty after printing every fault to standard error. */
  static Optional<EntrySettings> read(Path file) {
    EntrySettingsResult result = EntrySettingsReader.read(file);
    if (result instanceof EntrySettingsResult.Valid valid) {
      return Optional.of(valid.settings());
    }
    ((EntrySettingsResult.Invalid) result)
        .faults()
        .forEach(fault -> System.err.println(file + ": " + fault));
    return Optional.empty();
  }
}
