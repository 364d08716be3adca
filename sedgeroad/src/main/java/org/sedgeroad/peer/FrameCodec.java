package org.sedgeroad.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads frames: kind, number, type number or sender, and the fields of the message. */
final class FrameCodec {
  static final int PROTOCOL_VERSION = 1;

  private static final Frame.Kind[] KINDS = Frame.Kind.values();

  private FrameCodec() {}

  /**
   * Returns an encoded frame, preceded by its length.
   *
   * @throws IllegalArgumentException if the frame is longer than {@link
   *     FrameAssembler#MAXIMUM_LENGTH}
   */
  static ByteBuffer encode(Frame frame) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(frame.kind().ordinal());
      packer.packLong(frame.number());
      if (frame.kind() == Frame.Kind.GREETING) {
        packer.packString(frame.sender());
      } else {
        packer.packInt(frame.type());
        if (frame.message().isPresent()) {
          MessageCodecs.write(packer, frame.message().get());
        }
      }
      byte[] content = packer.toByteArray();
      if (content.length > FrameAssembler.MAXIMUM_LENGTH) {
        throw new IllegalArgumentException("frame of " + content.length + " bytes is too long");
      }
      ByteBuffer buffer = ByteBuffer.allocate(FrameAssembler.HEADER_LENGTH + content.length);
      return buffer.putInt(content.length).put(content).flip();
    } catch (IOException impossible) {
      throw new IllegalStateException("writing to memory failed", impossible);
    }
  }

  /** Decodes the content of a frame; empty if it is invalid. */
  static Optional<Frame> decode(byte[] content) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
      int kind = unpacker.unpackInt();
      long number = unpacker.unpackLong();
      if (kind < 0 || kind >= KINDS.length) {
        return Optional.empty();
      }
      if (KINDS[kind] == Frame.Kind.GREETING) {
        return Optional.of(
            new Frame(KINDS[kind], number, unpacker.unpackString(), 0, Optional.empty()));
      }
      int type = unpacker.unpackInt();
      return Optional.of(
          new Frame(KINDS[kind], number, "", type, MessageCodecs.read(unpacker, type)));
    } catch (IOException | MessagePackException | IllegalArgumentException invalid) {
      return Optional.empty();
    }
  }
}
