package org.sedgeroad.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads the fields of one message type. An older version ignores fields that a newer
 * version adds at the end.
 *
 * @param type number of the type on the wire, never reused
 * @param messageClass class of the message
 * @param writer writes the fields
 * @param reader reads the fields
 * @param <T> class of the message
 */
record MessageCodec<T extends PeerMessage>(
    int type, Class<T> messageClass, Writer<T> writer, Reader<T> reader) {

  /** Writes the fields of a message. */
  @FunctionalInterface
  interface Writer<T> {
    void write(MessagePacker packer, T message) throws IOException;
  }

  /** Reads the fields of a message. */
  @FunctionalInterface
  interface Reader<T> {
    T read(MessageUnpacker unpacker) throws IOException;
  }

  void write(MessagePacker packer, PeerMessage message) throws IOException {
    writer.write(packer, messageClass.cast(message));
  }
}
