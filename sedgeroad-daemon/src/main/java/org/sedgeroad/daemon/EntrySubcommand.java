package org.sedgeroad.daemon;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.sedgeroad.entry.EntryInstance;
import org.sedgeroad.settings.Settings;

/** Runs an entry instance until it is told to stop. */
final class EntrySubcommand extends Subcommand {
  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file")
  private Path settings;

  @Override
  int run() {
    Optional<Settings> valid = SettingsFiles.read(settings);
    if (valid.isEmpty()) {
      return ExitStatus.INVALID;
    }
    LogSetup.install();
    EntryInstance instance = new EntryInstance(valid.get());
    CountDownLatch stopped = new CountDownLatch(1);
    // A planned stop comes as SIGTERM, on which the virtual machine runs its shutdown hooks.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  instance.close();
                  LogSetup.flush();
                  stopped.countDown();
                },
                "planned-stop"));
    instance.start();
    try {
      stopped.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    return ExitStatus.DONE;
  }
}
