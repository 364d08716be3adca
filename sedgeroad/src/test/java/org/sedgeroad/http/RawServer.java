package org.sedgeroad.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a server that writes the bytes of its answers itself. Thread-safe. */
public final class RawServer implements AutoCloseable {
  private final ServerSocket server;
  private final AtomicInteger connections = new AtomicInteger();

  /** What the server does with a connection after it was opened. */
  public interface Script {
    void run(Socket socket) throws IOException, InterruptedException;
  }

  public RawServer() throws IOException {
    this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  public URI uri() {
    return URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
  }

  int connections() {
    return connections.get();
  }

  /** Accepts connections; each is closed when its script returns. */
  public void serve(Script script) {
    startThread(
        () -> {
          while (!server.isClosed()) {
            try {
              Socket socket = server.accept();
              connections.incrementAndGet();
              startThread(() -> run(script, socket));
            } catch (IOException closed) {
              return;
            }
          }
        });
  }

  private static void run(Script script, Socket accepted) {
    try (Socket socket = accepted) {
      socket.setTcpNoDelay(true);
      script.run(socket);
    } catch (IOException | InterruptedException closed) {
      // The client has closed the connection, or the test has ended.
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Reads the head of a request. */
  public static void readHead(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("closed");
      }
      head.append((char) next);
    }
  }

  /** Writes a text at once; each character is one byte. */
  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
