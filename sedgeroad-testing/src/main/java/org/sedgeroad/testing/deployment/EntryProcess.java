package org.sedgeroad.testing.deployment;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import org.sedgeroad.daemon.Main;

/** Process of one entry instance of a deployment; it can be started again after it has ended. */
public final class EntryProcess implements AutoCloseable {
  private static final int HEAP_MEGABYTES = 96;

  private final String name;
  private final String domain;
  private final Path folder;
  private final Path settings;
  private final URI callerAddress;
  private final URI operatorAddress;
  private ChildProcess process;

  EntryProcess(
      String name, String domain, Path folder, Path settings, int callerPort, int operatorPort) {
    this.name = name;
    this.domain = domain;
    this.folder = folder;
    this.settings = settings;
    this.callerAddress = URI.create("http://127.0.0.1:" + callerPort);
    this.operatorAddress = URI.create("http://127.0.0.1:" + operatorPort);
  }

  /** Starts the process for the first time or again after it has ended. */
  public void start() {
    process =
        ChildProcess.start(
            name,
            folder,
            HEAP_MEGABYTES,
            Main.class,
            List.of("entry", "--settings", settings.toString()));
  }

  /** Returns the name of the instance. */
  public String name() {
    return name;
  }

  /** Returns the failure domain of the instance. */
  public String domain() {
    return domain;
  }

  /** Returns the address for callers. */
  public URI callerAddress() {
    return callerAddress;
  }

  /** Returns the address for operators. */
  public URI operatorAddress() {
    return operatorAddress;
  }

  /** Returns the process started last. */
  public ChildProcess process() {
    return process;
  }

  @Override
  public void close() {
    process.close();
  }
}
