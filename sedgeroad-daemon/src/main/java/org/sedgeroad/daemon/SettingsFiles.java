package org.sedgeroad.daemon;

import java.nio.file.Path;
import java.util.Optional;
import org.sedgeroad.settings.Settings;
import org.sedgeroad.settings.SettingsReader;
import org.sedgeroad.settings.SettingsResult;

/** Reads settings files for subcommands and prints the faults in them. */
final class SettingsFiles {
  private SettingsFiles() {}

  /** Returns the settings of a file; empty after printing every fault to standard error. */
  static Optional<Settings> read(Path file) {
    SettingsResult result = SettingsReader.read(file);
    if (result instanceof SettingsResult.Valid valid) {
      return Optional.of(valid.settings());
    }
    ((SettingsResult.Invalid) result)
        .faults()
        .forEach(fault -> System.err.println(file + ": " + fault));
    return Optional.empty();
  }
}
