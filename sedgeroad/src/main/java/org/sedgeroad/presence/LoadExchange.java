package org.sedgeroad.presence;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Collection;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/** Sends and receives load reports as UDP datagrams. Thread-safe. */
public final class LoadExchange implements AutoCloseable {
  /** Size of the receive buffer, in bytes: room for about 60 endpoints and some services. */
  private static final int DATAGRAM_BYTES = 8 * 1024;

  private final DatagramSocket socket;
  private final Consumer<LoadReport> receiver;
  private final EventLog log;
  private final Thread reader;

  private LoadExchange(DatagramSocket socket, Consumer<LoadReport> receiver, EventLog log) {
    this.socket = socket;
    this.receiver = receiver;
    this.log = log;
    this.reader = new Thread(this::receiveReports, "load-reports");
    reader.setDaemon(true);
  }

  /**
   * Opens the socket and starts the receiving thread.
   *
   * @param address local address, not null
   * @param receiver receives each report on the receiving thread, not null
   * @param log receives failures to send or to decode, not null
   * @throws IllegalStateException if the address can't be bound
   */
  public static LoadExchange open(
      InetSocketAddress address, Consumer<LoadReport> receiver, EventLog log) {
    try {
      LoadExchange exchange = new LoadExchange(new DatagramSocket(address), receiver, log);
      exchange.reader.start();
      return exchange;
    } catch (SocketException failure) {
      throw new IllegalStateException("cannot bind " + address, failure);
    }
  }

  /**
   * Sends a report to each address. A failure to send is logged, and the report is not sent to the
   * remaining addresses.
   */
  public void send(LoadReport report, Collection<InetSocketAddress> peers) {
    try {
      byte[] bytes = LoadReportCodec.encode(report);
      for (InetSocketAddress peer : peers) {
        socket.send(new DatagramPacket(bytes, bytes.length, peer));
      }
    } catch (IOException failure) {
      log.log(LogEvent.PEER_UNREACHABLE, EventField.of("reason", failure.getMessage()));
    }
  }

  @Override
  public void close() {
    socket.close();
  }

  private void receiveReports() {
    byte[] buffer = new byte[DATAGRAM_BYTES];
    while (!socket.isClosed()) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        receiver.accept(LoadReportCodec.decode(packet.getData(), packet.getLength()));
      } catch (IOException failure) {
        if (!socket.isClosed()) {
          log.log(
              LogEvent.PEER_FRAME_INVALID,
              EventField.of("peer", packet.getSocketAddress()),
              EventField.of("reason", failure.getMessage()));
        }
      }
    }
  }
}
