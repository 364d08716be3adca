package org.sedgeroad.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A TCP connection to or from a peer. The network thread calls all methods; other threads may use
 * the queue and read the peer name and whether the connection is closed.
 */
final class PeerConnection {
  private final SocketChannel channel;
  private final SelectionKey key;
  private final SendQueue queue;
  private final BiConsumer<PeerConnection, byte[]> receiver;
  private final Consumer<OutgoingFrame> written;
  private final FrameAssembler assembler = new FrameAssembler();
  private volatile String peer;
  private volatile boolean closed;
  private long lastReadNanos;
  private long lastWriteNanos;

  PeerConnection(
      SelectionKey key,
      String peer,
      SendQueue queue,
      long nowNanos,
      BiConsumer<PeerConnection, byte[]> receiver,
      BiConsumer<PeerConnection, OutgoingFrame> written) {
    this.key = key;
    this.channel = (SocketChannel) key.channel();
    this.peer = peer;
    this.queue = queue;
    this.receiver = receiver;
    this.written = frame -> written.accept(this, frame);
    this.lastReadNanos = nowNanos;
    this.lastWriteNanos = nowNanos;
  }

  /**
   * Returns the name of the peer; empty for an incoming connection on which no greeting has arrived
   * yet.
   */
  String peer() {
    return peer;
  }

  void setPeer(String name) {
    peer = name;
  }

  SendQueue queue() {
    return queue;
  }

  boolean isClosed() {
    return closed;
  }

  boolean isConnected() {
    return channel.isConnected();
  }

  long lastReadNanos() {
    return lastReadNanos;
  }

  long lastWriteNanos() {
    return lastWriteNanos;
  }

  /** Completes the connection attempt. */
  void finishConnecting() throws IOException {
    channel.finishConnect();
    key.interestOps(SelectionKey.OP_READ);
  }

  /**
   * Reads the available bytes and passes on each completed frame.
   *
   * @return false if a frame has an invalid length
   * @throws IOException if the peer closed the connection or it broke
   */
  boolean read(ByteBuffer buffer, long nowNanos) throws IOException {
    buffer.clear();
    int count = channel.read(buffer);
    if (count < 0) {
      throw new IOException("closed by the peer");
    }
    lastReadNanos = nowNanos;
    return assembler.accept(buffer.flip(), frame -> receiver.accept(this, frame));
  }

  /** Writes as many bytes as the channel accepts; the rest follows when it is writable again. */
  void write(long nowNanos) throws IOException {
    if (closed || !channel.isConnected()) {
      return;
    }
    SendQueue.Progress progress = queue.writeTo(channel, written);
    boolean done = progress == SendQueue.Progress.ALL_WRITTEN;
    if (done || progress == SendQueue.Progress.SOME_WRITTEN) {
      lastWriteNanos = nowNanos;
    }
    key.interestOps(done ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
  }

  void close() {
    closed = true;
    key.cancel();
    try {
      channel.close();
    } catch (IOException ignored) {
      // The connection is closed or broken in either case.
    }
  }
}
