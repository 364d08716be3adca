package org.sedgeroad.review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** Sends one request on a new connection and reads the whole answer. Never repeats a request. */
final class Client {
  /**
   * Answer of a call.
   *
   * @param status status, 0 without an answer
   * @param body bytes of the body, without the framing of chunks
   * @param complete whether the whole body was received
   */
  record Answer(int status, byte[] body, boolean complete) {
    static final Answer NONE = new Answer(0, new byte[0], false);

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Client() {}

  static Answer call(
      int port, String method, String target, List<String> headers, byte[] body, int waitMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(waitMillis);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach(header -> head.append(header).append("\r\n"));
      if (headers.stream().noneMatch(header -> header.startsWith("Host:"))) {
        head.append("Host: localhost\r\n");
      }
      if (body.length > 0) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      OutputStream out = socket.getOutputStream();
      out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
      return read(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException failure) {
      return Answer.NONE;
    }
  }

  private static Answer read(BufferedInputStream in) throws IOException {
    String[] first = line(in).split(" ");
    if (first.length < 2) {
      return Answer.NONE;
    }
    int status = Integer.parseInt(first[1]);
    int length = -1;
    boolean chunked = false;
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(15).strip());
      }
      chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
    }
    if (!chunked) {
      byte[] body = length < 0 ? in.readAllBytes() : in.readNBytes(length);
      return new Answer(status, body, length >= 0 && body.length == length);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      while (true) {
        String size = line(in);
        if (size.isEmpty()) {
          return new Answer(status, body.toByteArray(), false);
        }
        int count = Integer.parseInt(size.strip(), 16);
        byte[] chunk = in.readNBytes(count);
        body.write(chunk);
        line(in);
        if (count == 0) {
          return new Answer(status, body.toByteArray(), true);
        }
      }
    } catch (IOException broken) {
      return new Answer(status, body.toByteArray(), false);
    }
  }

  private static String line(BufferedInputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        text.append((char) next);
      }
    }
    return text.toString();
  }
}
