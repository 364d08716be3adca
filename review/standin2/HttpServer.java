package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Small HTTP/1.1 server with one thread for each connection. */
final class HttpServer implements AutoCloseable {
  /** Handles one request; the answer is written with the methods of {@link Connection}. */
  interface Handler {
    void handle(Request request, Connection connection) throws IOException, InterruptedException;
  }

  /** One request that was read completely. */
  record Request(
      String method, String path, String query, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String parameter(String name) {
      for (String pair : query.split("&")) {
        if (pair.startsWith(name + "=")) {
          return pair.substring(name.length() + 1);
        }
      }
      return null;
    }
  }

  /** Connection of a client. */
  static final class Connection {
    final Socket socket;
    volatile boolean silent;
    private final InputStream input;
    private final OutputStream output;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.input = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      this.output = socket.getOutputStream();
    }

    /** Writes a complete answer with a length. */
    void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
      StringBuilder head = head(status, headers);
      head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      whole.write(body);
      write(whole.toByteArray());
    }

    /** Writes the head of an answer in chunks. */
    void beginChunks(int status, Map<String, String> headers) throws IOException {
      StringBuilder head = head(status, headers).append("Transfer-Encoding: chunked\r\n\r\n");
      write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    void chunk(byte[] bytes) throws IOException {
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      whole.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      whole.write(bytes);
      whole.write("\r\n".getBytes(StandardCharsets.US_ASCII));
      write(whole.toByteArray());
    }

    void endChunks() throws IOException {
      write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    void write(byte[] bytes) throws IOException {
      if (!silent) {
        output.write(bytes);
        output.flush();
      }
    }

    /** Returns whether the peer has closed the connection; no request may be in the buffer. */
    boolean isClosedByPeer() {
      try {
        socket.setSoTimeout(1);
        input.mark(1);
        int next = input.read();
        if (next >= 0) {
          input.reset();
        }
        return next < 0;
      } catch (java.net.SocketTimeoutException open) {
        return false;
      } catch (IOException closed) {
        return true;
      } finally {
        try {
          socket.setSoTimeout(0);
        } catch (IOException closed) {
          // The next read reports it.
        }
      }
    }

    private static StringBuilder head(int status, Map<String, String> headers) {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      return head;
    }
  }

  final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final ServerSocket server;
  private final Handler handler;

  HttpServer(String host, int port, Handler handler) throws IOException {
    this.handler = handler;
    this.server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
    thread(this::accept);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  static void thread(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 1 << 18);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Connection connection : connections) {
      connection.socket.close();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Connection connection = new Connection(server.accept());
        connection.socket.setTcpNoDelay(true);
        connections.add(connection);
        thread(() -> serve(connection));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Connection connection) {
    try (Socket socket = connection.socket) {
      Request request = read(connection.input);
      while (request != null) {
        handler.handle(request, connection);
        request = read(connection.input);
      }
    } catch (IOException | InterruptedException closed) {
      // The connection has ended.
    } finally {
      connections.remove(connection);
    }
  }

  private static Request read(InputStream input) throws IOException {
    String first = line(input);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
    }
    String[] words = first.split(" ");
    int mark = words[1].indexOf('?');
    return new Request(
        words[0],
        mark < 0 ? words[1] : words[1].substring(0, mark),
        mark < 0 ? "" : words[1].substring(mark + 1),
        headers,
        body(input, headers));
  }

  private static byte[] body(InputStream input, Map<String, String> headers) throws IOException {
    if (!"chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      return input.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
      body.write(input.readNBytes(size));
      line(input);
    }
    line(input);
    return body.toByteArray();
  }

  private static int chunkSize(InputStream input) throws IOException {
    return Integer.parseInt(line(input).split(";")[0].strip(), 16);
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
