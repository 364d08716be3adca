package review3;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Sends one request on a new connection. */
final class Client {
  /**
   * What a client has received.
   *
   * @param status status, 0 without a complete head
   * @param body body
   * @param complete whether the answer is complete
   */
  record Answer(int status, byte[] body, boolean complete) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Client() {}

  static byte[] request(String method, String target, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    if (!headers.containsKey("Host")) {
      head.append("Host: desk.example\r\n");
    }
    if (body != null) {
      head.append("Content-Length: " + body.length + "\r\n");
    }
    byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] whole = new byte[start.length + (body == null ? 0 : body.length)];
    System.arraycopy(start, 0, whole, 0, start.length);
    if (body != null) {
      System.arraycopy(body, 0, whole, start.length, body.length);
    }
    return whole;
  }

  static Answer call(
      String ip,
      int port,
      String method,
      String target,
      Map<String, String> headers,
      byte[] body,
      int timeoutMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, port), 1_000);
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write(request(method, target, headers, body));
      return receive(socket.getInputStream());
    } catch (IOException failure) {
      return new Answer(0, new byte[0], false);
    }
  }

  static String head(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("closed");
      }
      head.append((char) next);
    }
    return head.toString();
  }

  static String header(String head, String name) {
    return head.lines()
        .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst()
        .orElse("");
  }

  static Answer receive(InputStream input) throws IOException {
    String head = head(input);
    int status = Integer.parseInt(head.split(" ")[1]);
    String length = header(head, "Content-Length");
    if (!length.isEmpty()) {
      byte[] body = input.readNBytes(Integer.parseInt(length));
      return new Answer(status, body, body.length == Integer.parseInt(length));
    }
    java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
    try {
      while (true) {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
          if (next < 0) {
            return new Answer(status, body.toByteArray(), false);
          }
          line.append((char) next);
        }
        int size = Integer.parseInt(line.toString().strip().split(";")[0], 16);
        byte[] chunk = input.readNBytes(size + 2);
        body.write(chunk, 0, Math.min(size, chunk.length));
        if (size == 0) {
          return new Answer(status, body.toByteArray(), true);
        }
      }
    } catch (IOException | NumberFormatException broken) {
      return new Answer(status, body.toByteArray(), false);
    }
  }
}
