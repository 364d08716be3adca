package org.sedgeroad.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads heartbeats in a compact form, since they are most of the traffic between peers.
 */
final class HeartbeatCodec {
  private static final int PROGRESS_BYTES = 6;
  private static final int SEQUENCE_MASK = 0xffff;
  private static final int MAX_NAME_LENGTH = 128;

  /**
   * Start times after this one, in the year 4199, are rejected: no restarted process would have a
   * later start time and replace the state.
   */
  private static final long MAXIMUM_INCARNATION = 1L << 46;

  private HeartbeatCodec() {}

  static void write(MessagePacker packer, Heartbeat heartbeat) throws IOException {
    packer.packString(heartbeat.sender());
    packer.packArrayHeader(heartbeat.members().size());
    String domain = "";
    for (MemberInfo member : heartbeat.members()) {
      writeMember(packer, member, domain);
      domain = member.domain();
    }
    ByteBuffer progress = ByteBuffer.allocate(PROGRESS_BYTES * heartbeat.progress().size());
    heartbeat
        .progress()
        .forEach((key, sequence) -> progress.putInt(key).putShort(sequence.shortValue()));
    packer.packBinaryHeader(progress.position()).writePayload(progress.array());
    packer.packMapHeader(heartbeat.versions().size());
    for (Map.Entry<String, Long> version : heartbeat.versions().entrySet()) {
      packer.packString(version.getKey()).packLong(version.getValue());
    }
    packer.packMapHeader(heartbeat.liveCounts().size());
    for (Map.Entry<String, Integer> count : heartbeat.liveCounts().entrySet()) {
      packer.packString(count.getKey()).packInt(count.getValue());
    }
    packer.packBoolean(heartbeat.storeUnreachable());
  }

  static Heartbeat read(MessageUnpacker unpacker) throws IOException {
    final String sender = checkName(unpacker.unpackString());
    int count = unpacker.unpackArrayHeader();
    List<MemberInfo> members = new ArrayList<>();
    String domain = "";
    for (int i = 0; i < count; i++) {
      members.add(readMember(unpacker, domain));
      domain = members.get(i).domain();
    }
    ByteBuffer bytes = ByteBuffer.wrap(readBinary(unpacker));
    Map<Integer, Integer> progress = new HashMap<>();
    while (bytes.remaining() >= PROGRESS_BYTES) {
      progress.put(bytes.getInt(), bytes.getShort() & SEQUENCE_MASK);
    }
    Map<String, Long> versions = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      versions.put(unpacker.unpackString(), unpacker.unpackLong());
    }
    Map<String, Integer> liveCounts = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      liveCounts.put(unpacker.unpackString(), unpacker.unpackInt());
    }
    return new Heartbeat(sender, members, progress, versions, liveCounts, unpacker.unpackBoolean());
  }

  /**
   * Writes the state of a member; the domain is left empty if it equals that of the previous
   * member.
   */
  private static void writeMember(MessagePacker packer, MemberInfo member, String previous)
      throws IOException {
    packer.packString(member.instance());
    InetSocketAddress address =
        PeerAddress.parse(member.address())
            .orElseThrow(() -> new IOException("invalid peer address " + member.address()));
    byte[] raw = address.getAddress().getAddress();
    packer.packBinaryHeader(raw.length).writePayload(raw).packInt(address.getPort());
    packer.packString(member.domain().equals(previous) ? "" : member.domain());
    packer.packLong(member.incarnation()).packLong(member.sequence());
    packer.packBoolean(member.leaving());
  }

  private static MemberInfo readMember(MessageUnpacker unpacker, String previous)
      throws IOException {
    final String instance = checkName(unpacker.unpackString());
    byte[] raw = readBinary(unpacker);
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getByAddress(raw), unpacker.unpackInt());
    String domain = unpacker.unpackString();
    long incarnation = unpacker.unpackLong();
    long sequence = unpacker.unpackLong();
    if (incarnation < 0 || incarnation > MAXIMUM_INCARNATION || sequence < 0) {
      throw new IOException("incarnation or sequence out of range");
    }
    return new MemberInfo(
        instance,
        PeerAddress.toText(address),
        checkName(domain.isEmpty() ? previous : domain),
        incarnation,
        sequence,
        unpacker.unpackBoolean());
  }

  private static byte[] readBinary(MessageUnpacker unpacker) throws IOException {
    int length = unpacker.unpackBinaryHeader();
    // Checked before the read, which allocates an array of this length.
    if (length > FrameAssembler.MAXIMUM_LENGTH) {
      throw new IOException("binary is too long: " + length + " bytes");
    }
    return unpacker.readPayload(length);
  }

  private static String checkName(String name) throws IOException {
    if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
      throw new IOException("name is empty or too long: " + name.length() + " characters");
    }
    return name;
  }
}
