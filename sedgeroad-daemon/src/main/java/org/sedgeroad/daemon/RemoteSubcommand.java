package org.sedgeroad.daemon;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** Base class of the subcommands that use the administration API of an instance. */
abstract class RemoteSubcommand extends Subcommand {
  private static final String TOKEN_FILE_VARIABLE = "SEDGEROAD_TOKEN_FILE";

  @Option(name = "--at", metaVar = "URL", usage = "address of an instance's [listen] operators")
  private URI address = URI.create("http://127.0.0.1:8081");

  @Option(
      name = "--token-file",
      metaVar = "FILE",
      usage = "file with the operators' token, default: the variable SEDGEROAD_TOKEN_FILE")
  private Path tokenFile;

  URI address() {
    return address;
  }

  /** Returns a client for the address of {@code --at}; empty after printing why there is none. */
  final Optional<AdministrationClient> createClient() {
    return createClient(address);
  }

  /** Returns a client for an address; empty after printing why there is none. */
  final Optional<AdministrationClient> createClient(URI target) {
    LogSetup.suppressLibraryInfoMessages();
    if (target.getScheme() == null || target.getHost() == null) {
      System.err.println("expected an address http://IP:PORT, found '" + target + "'");
      return Optional.empty();
    }
    String variable = System.getenv(TOKEN_FILE_VARIABLE);
    Path file = tokenFile != null || variable == null ? tokenFile : Path.of(variable);
    if (file == null) {
      return Optional.of(new AdministrationClient(target, ""));
    }
    try {
      return Optional.of(new AdministrationClient(target, Files.readString(file).strip()));
    } catch (IOException failure) {
      System.err.println("cannot read the token file " + file + ": " + failure);
      return Optional.empty();
    }
  }
}
