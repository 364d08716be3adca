package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the entry role of the deploy file, on a loopback address of its own. */
final class Entry implements AutoCloseable {
  private static final Path DEPLOY = Path.of("deploy/system.toml");
  private static final Path TEMPLATE = Path.of("deploy/instance.ini");

  final String name;
  final String host;
  final int front;
  private final int ready;
  private final Path folder;
  private final Path settings;
  private final Path log;
  private Process process;

  Entry(Path folder, String name, String zone, String host, String store) throws IOException {
    this.name = name;
    this.host = host;
    this.folder = folder;
    int[] ports = freePorts(host, 6);
    this.front = ports[0];
    this.ready = ports[1];
    ObjectNode fields = Store.MAPPER.createObjectNode();
    fields.put("nodeName", name).put("role", "entry").put("machineClass", "edge");
    fields.put("ip", host).put("zone", zone).put("region", "patagonia-norte");
    fields.putArray("portRange").add(ports[2]).add(ports[3]);
    ObjectNode zones = fields.putObject("zones");
    zones.put("neuquen-a", "patagonia-norte").put("neuquen-b", "patagonia-norte");
    zones.put("mendoza-a", "cuyo");
    ObjectNode listen = fields.putObject("listen");
    listen.put("front", host + ":" + front).put("ready", host + ":" + ready);
    ObjectNode bounds = fields.putObject("bounds");
    bounds.put("statusS", 120).put("graceS", 8).put("quotaOverage", 0.1);
    fields.putObject("platform").put("address", store).put("valueBytes", 1_048_576);
    this.settings = folder.resolve(name + ".ini");
    this.log = folder.resolve(name + ".log");
    String text = Template.render(Files.readString(TEMPLATE), fields);
    Files.writeString(settings, text);
  }

  void start() throws IOException {
    List<String> command = new ArrayList<>();
    Matcher run =
        Pattern.compile("\\[roles\\.entry]\\s+run = \"(.*?)\"").matcher(Files.readString(DEPLOY));
    if (!run.find()) {
      throw new IOException("no command of the entry role");
    }
    command.addAll(List.of(run.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().removeIf(
        key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
    builder.environment().put("SEDGEROAD_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  boolean isReady() {
    Client.Answer answer = Client.call(host, ready, "GET", "/ready", Map.of(), new byte[0], 1_000);
    return answer.status() == 200;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitStatus() {
    return process.exitValue();
  }

  long pid() {
    return process.pid();
  }

  /** Sends a signal to the process. */
  void signal(String signalName) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
  }

  Path log() {
    return log;
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static int[] freePorts(String host, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    try {
      for (int index = 0; index < count; index++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
        sockets.add(socket);
        ports[index] = socket.getLocalPort();
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }

  /** Renders the template of the settings as the platform does. */
  private static final class Template {
    private static final Pattern SECTION =
        Pattern.compile("\\{\\{([#^])([A-Za-z.]+)}}(.*?)\\{\\{/\\2}}", Pattern.DOTALL);
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.0-9]+)}}");

    static String render(String template, JsonNode fields) {
      Matcher sections = SECTION.matcher(template);
      StringBuilder text = new StringBuilder();
      while (sections.find()) {
        JsonNode value = find(fields, sections.group(2));
        boolean present = !value.isMissingNode() && !(value.isBoolean() && !value.asBoolean());
        String body = sections.group(3);
        String rendered = "";
        if (sections.group(1).equals("^")) {
          rendered = present ? "" : body;
        } else if (value.isObject()) {
          StringBuilder entries = new StringBuilder();
          for (Iterator<Map.Entry<String, JsonNode>> all = value.fields(); all.hasNext(); ) {
            Map.Entry<String, JsonNode> entry = all.next();
            entries.append(
                body.replace("{{@}}", entry.getKey())
                    .replace("{{.}}", entry.getValue().asText())
                    .replace("{{,}}", all.hasNext() ? "," : ""));
          }
          rendered = entries.toString();
        } else if (present) {
          rendered = body.replace("{{.}}", value.asText());
        }
        sections.appendReplacement(text, Matcher.quoteReplacement(rendered));
      }
      sections.appendTail(text);
      return PLACEHOLDER
          .matcher(text)
          .replaceAll(
              match -> Matcher.quoteReplacement(find(fields, match.group(1)).asText()));
    }

    private static JsonNode find(JsonNode fields, String path) {
      JsonNode value = fields;
      for (String part : path.split("\\.")) {
        value = value.isArray() ? value.path(Integer.parseInt(part)) : value.path(part);
      }
      return value;
    }
  }
}
