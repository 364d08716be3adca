package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;

/** Client that sends each call on a new connection. */
final class Client {
  static final String HOST = "ficu95.example";

  /** Answer to a call; status 0 if the call ended without a complete one. */
  record Answer(int status, Map<String, String> headers, byte[] body, String failure) {
    JsonNode json() {
      try {
        return Store.MAPPER.readTree(body);
      } catch (IOException malformed) {
        return Store.MAPPER.missingNode();
      }
    }
  }

  private Client() {}

  /** Sends a call and reads its answer until a timeout in milliseconds. */
  static Answer call(
      String host,
      int port,
      String method,
      String target,
      Map<String, String> headers,
      byte[] body,
      int timeoutMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, port), Math.min(1_000, timeoutMillis));
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      head.append("Host: " + HOST + "\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: " + body.length + "\r\n\r\n");
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      whole.write(body);
      socket.getOutputStream().write(whole.toByteArray());
      socket.getOutputStream().flush();
      return read(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException failure) {
      return new Answer(0, Map.of(), new byte[0], failure.toString());
    }
  }

  static Answer submit(Entry entry, String job, byte[] body, int timeoutMillis) {
    Map<String, String> headers =
        Map.of(
            "X-Attempt-Id",
            job,
            "Content-Type",
            "application/json",
            "X-Deadline-Ms",
            Integer.toString(timeoutMillis));
    return call(entry.host, entry.front, "POST", "/pule252/" + job, headers, body, timeoutMillis);
  }

  static Answer read(Entry entry, String job, int after, int timeoutMillis) {
    return call(
        entry.host,
        entry.front,
        "GET",
        "/lots/" + job + "?after=" + after,
        Map.of(),
        new byte[0],
        timeoutMillis);
  }

  static Answer end(Entry entry, String job, int timeoutMillis) {
    return call(
        entry.host,
        entry.front,
        "DELETE",
        "/lots/" + job,
        Map.of(),
        new byte[0],
        timeoutMillis);
  }

  /** Body of a batch job; each item has a number of output tokens and of bytes. */
  static byte[] job(String job, int items, int outputTokens, int itemBytes) {
    ObjectNode root = Store.MAPPER.createObjectNode();
    ArrayNode list = root.putArray("items");
    String body = Base64.getEncoder().encodeToString(new byte[itemBytes]);
    for (int index = 0; index < items; index++) {
      ObjectNode item = list.addObject().put("id", item(job, index));
      item.put("path", "/pule252/3/91c4").put("body", body).put("tokens", 350 + outputTokens);
      ObjectNode headers = item.putObject("headers");
      headers.put("X-Model", "m").put("X-Token-Count", "350," + outputTokens);
      headers.put("X-Prompt-Prefix", "9c2e41:100," + item(job, index) + ":250");
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  static String item(String job, int index) {
    return job + String.format("%04x", index);
  }

  private static Answer read(InputStream input) throws IOException {
    String first = line(input);
    if (first == null) {
      return new Answer(0, Map.of(), new byte[0], "closed without an answer");
    }
    int status = Integer.parseInt(first.split(" ")[1]);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      String size = line(input);
      while (size != null && Integer.parseInt(size, 16) > 0) {
        body.write(input.readNBytes(Integer.parseInt(size, 16)));
        line(input);
        size = line(input);
      }
      return size == null
          ? new Answer(0, headers, body.toByteArray(), "ended inside the answer")
          : new Answer(status, headers, body.toByteArray(), "");
    }
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    body.write(input.readNBytes(length));
    return body.size() < length
        ? new Answer(0, headers, body.toByteArray(), "ended inside the answer")
        : new Answer(status, headers, body.toByteArray(), "");
  }

  private static String line(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = input.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.append((char) next);
      }
      next = input.read();
    }
    return line.toString();
  }
}
