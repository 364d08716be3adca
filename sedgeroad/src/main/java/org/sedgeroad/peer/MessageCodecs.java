package org.sedgeroad.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The codecs of all message types and their type numbers on the wire. */
final class MessageCodecs {
  private static final List<MessageCodec<?>> ALL =
      List.of(
          new MessageCodec<>(1, Heartbeat.class, HeartbeatCodec::write, HeartbeatCodec::read),
          new MessageCodec<>(
              2,
              EndpointNews.class,
              (packer, message) ->
                  packer
                      .packString(message.endpoint())
                      .packString(message.address())
                      .packString(message.cause().name()),
              unpacker ->
                  new EndpointNews(
                      unpacker.unpackString(),
                      unpacker.unpackString(),
                      EndpointNews.Cause.valueOf(unpacker.unpackString()))),
          new MessageCodec<>(
              3,
              LivePressure.class,
              (packer, pressure) ->
                  packer
                      .packString(pressure.sender())
                      .packString(pressure.endpoint())
                      .packLong(pressure.sequence())
                      .packInt(pressure.liveRequests()),
              unpacker ->
                  new LivePressure(
                      unpacker.unpackString(),
                      unpacker.unpackString(),
                      unpacker.unpackLong(),
                      unpacker.unpackInt())),
          new MessageCodec<>(
              4, ConfigurationDelta.class, MessageCodecs::writeDelta, MessageCodecs::readDelta),
          new MessageCodec<>(
              5,
              ConfigurationPull.class,
              (packer, pull) -> packer.packString(pull.kind()).packLong(pull.aboveVersion()),
              unpacker -> new ConfigurationPull(unpacker.unpackString(), unpacker.unpackLong())),
          new MessageCodec<>(
              6,
              GrantRequest.class,
              (packer, request) ->
                  packer
                      .packString(request.sender())
                      .packString(request.member())
                      .packString(request.limit())
                      .packLong(request.wanted()),
              unpacker ->
                  new GrantRequest(
                      unpacker.unpackString(),
                      unpacker.unpackString(),
                      unpacker.unpackString(),
                      unpacker.unpackLong())),
          new MessageCodec<>(7, Grant.class, MessageCodecs::writeGrant, MessageCodecs::readGrant),
          new MessageCodec<>(
              8,
              LeaseRenewal.class,
              (packer, renewal) -> packer.packString(renewal.holder()).packLong(renewal.counter()),
              unpacker -> new LeaseRenewal(unpacker.unpackString(), unpacker.unpackLong())),
          new MessageCodec<>(
              9,
              Leaving.class,
              (packer, leaving) -> packer.packString(leaving.sender()),
              unpacker -> new Leaving(unpacker.unpackString())),
          new MessageCodec<>(
              10,
              Acknowledgement.class,
              (packer, acknowledgement) -> packer.packBoolean(acknowledgement.done()),
              unpacker -> new Acknowledgement(unpacker.unpackBoolean())),
          new MessageCodec<>(
              11, EndpointLost.class, MessageCodecs::writeLost, MessageCodecs::readLost),
          new MessageCodec<>(
              12,
              QuarantineNews.class,
              (packer, message) ->
                  packer.packString(message.fingerprint()).packLong(message.deadlineMillis()),
              unpacker -> new QuarantineNews(unpacker.unpackString(), unpacker.unpackLong())));

  private static final Map<Integer, MessageCodec<?>> BY_TYPE =
      ALL.stream().collect(Collectors.toUnmodifiableMap(MessageCodec::type, Function.identity()));
  private static final Map<Class<?>, MessageCodec<?>> BY_CLASS =
      ALL.stream()
          .collect(Collectors.toUnmodifiableMap(MessageCodec::messageClass, Function.identity()));

  private MessageCodecs() {}

  static int typeOf(PeerMessage message) {
    return BY_CLASS.get(message.getClass()).type();
  }

  static void write(MessagePacker packer, PeerMessage message) throws IOException {
    BY_CLASS.get(message.getClass()).write(packer, message);
  }

  /** Reads the fields of a message; empty if the type number is unknown. */
  static Optional<PeerMessage> read(MessageUnpacker unpacker, int type) throws IOException {
    MessageCodec<?> codec = BY_TYPE.get(type);
    return codec == null ? Optional.empty() : Optional.of(codec.reader().read(unpacker));
  }

  private static void writeDelta(MessagePacker packer, ConfigurationDelta delta)
      throws IOException {
    packer
        .packString(delta.kind())
        .packLong(delta.aboveVersion())
        .packLong(delta.completeVersion())
        .packArrayHeader(delta.objects().size());
    for (ConfigurationItem item : delta.objects()) {
      packer.packString(item.name()).packLong(item.version()).packString(item.spec());
    }
  }

  private static ConfigurationDelta readDelta(MessageUnpacker unpacker) throws IOException {
    String kind = unpacker.unpackString();
    long above = unpacker.unpackLong();
    long complete = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    List<ConfigurationItem> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      items.add(
          new ConfigurationItem(
              unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString()));
    }
    return new ConfigurationDelta(kind, above, complete, items);
  }

  private static void writeLost(MessagePacker packer, EndpointLost lost) throws IOException {
    packer
        .packString(lost.sender())
        .packString(lost.endpoint())
        .packString(lost.address())
        .packArrayHeader(lost.fingerprints().size());
    for (String fingerprint : lost.fingerprints()) {
      packer.packString(fingerprint);
    }
  }

  private static EndpointLost readLost(MessageUnpacker unpacker) throws IOException {
    String sender = unpacker.unpackString();
    String endpoint = unpacker.unpackString();
    String address = unpacker.unpackString();
    int count = unpacker.unpackArrayHeader();
    List<String> fingerprints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      fingerprints.add(unpacker.unpackString());
    }
    return new EndpointLost(sender, endpoint, address, fingerprints);
  }

  private static void writeGrant(MessagePacker packer, Grant grant) throws IOException {
    packer
        .packString(grant.member())
        .packString(grant.limit())
        .packLong(grant.granted())
        .packLong(grant.validMillis())
        .packLong(grant.retryMillis())
        .packLong(grant.version());
  }

  private static Grant readGrant(MessageUnpacker unpacker) throws IOException {
    return new Grant(
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
