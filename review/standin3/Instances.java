package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Processes of the role {@code entry}, started with the command of the deploy file and with
 * settings rendered from its template. Each has a loopback address of its own.
 */
final class Instances implements AutoCloseable {
  private static final Pattern RUN =
      Pattern.compile("\\[roles\\.entry]\\s*\\nrun = \"([^\"]*)\"", Pattern.MULTILINE);
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{([#^])([A-Za-z.]+)}}(.*?)\\{\\{/\\2}}", Pattern.DOTALL);
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.0-9]+)}}");

  /** One process and its addresses. */
  static final class Instance {
    final String name;
    final String ip;
    final int clientPort;
    final int readinessPort;
    final Path settings;
    final Path output;
    Process process;

    Instance(String name, String ip, Path folder) throws IOException {
      this.name = name;
      this.ip = ip;
      this.clientPort = freePort(ip);
      this.readinessPort = freePort(ip);
      this.settings = folder.resolve(name + ".ini");
      this.output = folder.resolve(name + ".log");
    }

    boolean isAlive() {
      return process.isAlive();
    }
  }

  private final Path folder;
  private final String storeAddress;
  private final Map<String, String> bounds;
  private final List<Instance> instances = new CopyOnWriteArrayList<>();

  /**
   * Creates an empty set.
   *
   * @param folder temporary folder for settings and logs
   * @param storeAddress address of the store
   * @param bounds fields under {@code bounds}
   */
  Instances(Path folder, String storeAddress, Map<String, String> bounds) {
    this.folder = folder;
    this.storeAddress = storeAddress;
    this.bounds = bounds;
    // Ends the processes also if this one is stopped.
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  /** Starts a process in a zone. */
  Instance start(String name, String zone, List<String> zones) throws IOException {
    // A process id keeps the addresses of concurrent cases apart: the port of the metrics is fixed.
    long id = ProcessHandle.current().pid();
    String ip =
        "127." + (10 + id / 250 % 200) + "." + (1 + id % 250) + "." + (10 + instances.size());
    Instance instance = new Instance(name, ip, folder);
    int reports = freePort(ip);
    int exchange = freePort(ip);
    String template = Files.readString(Path.of("deploy/instance.ini"));
    Matcher sections = SECTION.matcher(template);
    StringBuilder text = new StringBuilder();
    while (sections.find()) {
      String field = sections.group(2);
      boolean wanted = sections.group(1).equals("#");
      String body = sections.group(3);
      String value =
          switch (field) {
            case "listen.front" -> ip + ":" + instance.clientPort;
            case "listen.ready" -> ip + ":" + instance.readinessPort;
            case "platform.valueBytes" -> "1048576";
            case "zones" -> "";
            default ->
                field.startsWith("bounds.") ? bounds.get(field.substring(7)) : (String) null;
          };
      String rendered = "";
      if (field.equals("zones")) {
        rendered = String.join(",", zones.stream().map(each -> each + ":region").toList());
      } else if (wanted && value != null) {
        rendered = body.replace("{{.}}", value);
        if (rendered.contains("{{bounds." + field.substring(field.indexOf('.') + 1) + "}}")) {
          rendered = rendered.replace("{{" + field + "}}", value);
        }
      } else if (!wanted && value == null) {
        rendered = body;
      }
      sections.appendReplacement(text, Matcher.quoteReplacement(rendered));
    }
    sections.appendTail(text);
    String settings =
        PLACEHOLDER
            .matcher(text)
            .replaceAll(
                match ->
                    switch (match.group(1)) {
                      case "nodeName" -> name;
                      case "zone" -> zone;
                      case "ip" -> ip;
                      case "portRange.0" -> Integer.toString(reports);
                      case "portRange.1" -> Integer.toString(exchange);
                      case "platform.address" -> storeAddress;
                      default -> bounds.getOrDefault(match.group(1).replace("bounds.", ""), "");
                    });
    Files.writeString(instance.settings, settings);
    launch(instance);
    instances.add(instance);
    return instance;
  }

  /** Starts the process of an instance, also again after its end. */
  void launch(Instance instance) throws IOException {
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no command of the role entry");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.environment().put("SEDGEROAD_BOOT", instance.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(instance.output.toFile()));
    instance.process = builder.start();
  }

  /** Waits until an instance reports that it is ready. */
  void awaitReady(Instance instance) throws InterruptedException {
    for (int attempt = 0; attempt < 200; attempt++) {
      if (Client.call(instance.ip, instance.readinessPort, "GET", "/ready", Map.of(), null, 500)
              .status()
          == 200) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException(instance.name + " is not ready");
  }

  /** Sends a signal to a process that was started here. */
  void signal(Instance instance, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(instance.process.pid()))
        .start()
        .waitFor();
  }

  @Override
  public void close() {
    for (Instance instance : instances) {
      instance.process.destroyForcibly();
      try {
        instance.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
