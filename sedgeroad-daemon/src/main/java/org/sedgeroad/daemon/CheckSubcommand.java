package org.sedgeroad.daemon;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.sedgeroad.settings.GatewaySettings;
import org.sedgeroad.settings.GatewaySettingsReader;

/** Checks a settings file without starting an instance. */
final class CheckSubcommand extends Subcommand {
  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file")
  private Path settings;

  @Option(name = "--gateway", usage = "the file is that of a gateway instance on a platform")
  private boolean gateway;

  @Override
  int run() {
    boolean valid =
        gateway ? isValidForGateway(settings) : SettingsFiles.read(settings).isPresent();
    if (!valid) {
      return ExitStatus.INVALID;
    }
    System.out.println(settings + ": no fault found");
    return ExitStatus.DONE;
  }

  private static boolean isValidForGateway(Path file) {
    GatewaySettings read =
        GatewaySettingsReader.read(file, fault -> System.err.println(file + ": " + fault));
    return read != null;
  }
}
