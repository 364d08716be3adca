package org.sedgeroad.daemon;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Checks a settings file and starts nothing. */
final class CheckSubcommand extends Subcommand {
  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file")
  private Path settings;

  @Override
  int run() {
    if (SettingsFiles.read(settings).isEmpty()) {
      return ExitStatus.INVALID;
    }
    System.out.println(settings + ": no fault found");
    return ExitStatus.DONE;
  }
}
