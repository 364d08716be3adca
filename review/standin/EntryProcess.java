package org.sedgeroad.review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A process of the role {@code entry}, started with the command of the deploy file in the
 * repository's root. Its settings are what the deploy file's template gives for a small deployment,
 * with free ports.
 */
final class EntryProcess implements AutoCloseable {
  private final String name;
  private final int clientPort;
  private final int readyPort;
  private final Process process;

  private EntryProcess(String name, int clientPort, int readyPort, Process process) {
    this.name = name;
    this.clientPort = clientPort;
    this.readyPort = readyPort;
    this.process = process;
  }

  static EntryProcess start(String name, String zone, int storePort, Path folder)
      throws IOException {
    int[] ports = freePorts(5);
    String settings =
        String.join(
            "\n",
            "[instance]",
            "name = " + name,
            "domain = " + zone,
            "domains = zone-a:region-1,zone-b:region-1,zone-c:region-2",
            "[listen]",
            "clients = 127.0.0.1:" + ports[0],
            "readiness = 127.0.0.1:" + ports[1],
            "reports = 127.0.0.1:" + ports[2],
            "exchange = 127.0.0.1:" + ports[3],
            "metrics = 127.0.0.1:" + ports[4],
            "[store]",
            "address = http://127.0.0.1:" + storePort,
            "[jobs]",
            "keep-seconds = 1200",
            "[stop]",
            "timeout-seconds = 8",
            "");
    Path file = folder.resolve(name + ".ini");
    Files.writeString(file, settings);
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("SEDGEROAD_BOOT", file.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
    Process process = builder.start();
    // The case itself may be ended from outside.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    return new EntryProcess(name, ports[0], ports[1], process);
  }

  /** Returns the command of the role {@code entry} in the deploy file. */
  private static List<String> command() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run =
        Pattern.compile("\\[roles\\.entry]\\s+run = \"([^\"]+)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command for the role entry");
    }
    return List.of(run.group(1).split(" "));
  }

  private static int[] freePorts(int count) throws IOException {
    List<AutoCloseable> held = new ArrayList<>();
    int[] ports = new int[count];
    for (int index = 0; index < count; index++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[index] = socket.getLocalPort();
      held.add(socket);
      held.add(new DatagramSocket(ports[index], InetAddress.getLoopbackAddress()));
    }
    for (AutoCloseable socket : held) {
      try {
        socket.close();
      } catch (Exception failure) {
        throw new IOException(failure);
      }
    }
    return ports;
  }

  String name() {
    return name;
  }

  int clientPort() {
    return clientPort;
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Waits until the process is ready; returns false after 30 s. */
  boolean awaitReady() throws InterruptedException {
    for (int attempt = 0; attempt < 300 && process.isAlive(); attempt++) {
      if (Client.call(readyPort, "GET", "/ready", List.of(), new byte[0], 1_000).status() == 200) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Sends SIGTERM; returns whether the process has ended within a time. */
  boolean terminate(long waitMillis) throws InterruptedException {
    process.destroy();
    return process.waitFor(waitMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
