package org.sedgeroad.daemon;

import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.sedgeroad.entry.EntryInstance;
import org.sedgeroad.settings.EntrySettings;

/**
 * Runs an entry instance, which serves callers of the API, until the process gets a stop signal.
 */
final class EntrySubcommand extends Subcommand {
  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file")
  private Path settings;

  @Override
  int run() {
    Optional<EntrySettings> valid = SettingsFiles.read(settings);
    if (valid.isEmpty()) {
      return ExitStatus.INVALID;
    }
    LogSetup.install();
    EntryInstance instance = new EntryInstance(valid.get());
    InstanceRunner.run(instance::start, instance::close);
    return ExitStatus.DONE;
  }
}
