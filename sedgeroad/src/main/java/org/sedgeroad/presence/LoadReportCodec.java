package org.sedgeroad.presence;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes load reports as sequences of MessagePack values. */
final class LoadReportCodec {
  /**
   * Version of the layout, first value of each datagram; each change of the layout increases it.
   */
  private static final int LAYOUT = 1;

  private LoadReportCodec() {}

  static byte[] encode(LoadReport report) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(LAYOUT);
      packer.packString(report.instance());
      packer.packLong(report.incarnation());
      packer.packLong(report.sequence());
      packer.packLong(report.configurationVersion());
      packer.packInt(report.liveWaiting());
      packer.packMapHeader(report.batchReady().size());
      for (Map.Entry<String, Integer> entry : report.batchReady().entrySet()) {
        packer.packString(entry.getKey());
        packer.packInt(entry.getValue());
      }
      packer.packMapHeader(report.waitingTokens().size());
      for (Map.Entry<String, Long> entry : report.waitingTokens().entrySet()) {
        packer.packString(entry.getKey());
        packer.packLong(entry.getValue());
      }
      packer.packMapHeader(report.occupancy().size());
      for (Map.Entry<String, Occupancy> entry : report.occupancy().entrySet()) {
        packer.packString(entry.getKey());
        packer.packInt(entry.getValue().live());
        packer.packInt(entry.getValue().batch());
      }
      packer.packBoolean(report.leaving());
      return packer.toByteArray();
    }
  }

  static LoadReport decode(byte[] bytes, int length) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
      int layout = unpacker.unpackInt();
      if (layout != LAYOUT) {
        throw new IOException("unknown layout " + layout);
      }
      String instance = unpacker.unpackString();
      long incarnation = unpacker.unpackLong();
      long sequence = unpacker.unpackLong();
      long version = unpacker.unpackLong();
      int liveWaiting = unpacker.unpackInt();
      Map<String, Integer> ready = new HashMap<>();
      for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
        ready.put(unpacker.unpackString(), unpacker.unpackInt());
      }
      Map<String, Long> tokens = new HashMap<>();
      for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
        tokens.put(unpacker.unpackString(), unpacker.unpackLong());
      }
      Map<String, Occupancy> occupancy = new HashMap<>();
      for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
        occupancy.put(
            unpacker.unpackString(), new Occupancy(unpacker.unpackInt(), unpacker.unpackInt()));
      }
      boolean leaving = unpacker.unpackBoolean();
      return new LoadReport(
          instance, incarnation, sequence, version, liveWaiting, ready, tokens, occupancy, leaving);
    } catch (RuntimeException malformed) {
      // The unpacker throws unchecked exceptions for unexpected types.
      throw new IOException("not a load report", malformed);
    }
  }
}
