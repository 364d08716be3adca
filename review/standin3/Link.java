package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.locks.LockSupport;

/**
 * A link between clients and a machine, as a proxy. If it is slow, it passes on what a client has
 * sent in parts, at the rate of the link; no byte is lost or changed.
 */
final class Link implements AutoCloseable {
  private final ServerSocket server;
  private final String ip;
  private final int port;
  private final int partBytes;
  private final long partNanos;

  /**
   * Opens a link.
   *
   * @param ip address of the machine
   * @param port port of the machine
   * @param partBytes bytes of a part, 0 for a link that passes everything on at once
   * @param mbps rate in Mbit/s
   */
  Link(String ip, int port, int partBytes, double mbps) throws IOException {
    this.ip = ip;
    this.port = port;
    this.partBytes = partBytes;
    this.partNanos = (long) (partBytes * 8 * 1_000 / mbps);
    this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Worker.daemon(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket client = server.accept();
        Socket machine = new Socket();
        machine.connect(new InetSocketAddress(ip, port), 1_000);
        machine.setTcpNoDelay(true);
        Worker.daemon(() -> pass(client, machine, partBytes));
        Worker.daemon(() -> pass(machine, client, 0));
      } catch (IOException closed) {
        // A connection that could not be opened, or the end of the link.
      }
    }
  }

  private void pass(Socket from, Socket to, int part) {
    byte[] buffer = new byte[64 * 1024];
    try (from;
        to) {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      for (int count = input.read(buffer); count > 0; count = input.read(buffer)) {
        for (int sent = 0; sent < count; ) {
          int next = part == 0 ? count - sent : Math.min(part, count - sent);
          output.write(buffer, sent, next);
          sent += next;
          if (sent < count) {
            LockSupport.parkNanos(partNanos);
          }
        }
      }
    } catch (IOException closed) {
      // Either side has closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
