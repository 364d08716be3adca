package org.sedgeroad.presence;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.sedgeroad.announcement.Announcement;
import org.sedgeroad.announcement.VersionedAnnouncement;
import org.sedgeroad.suspicion.CrashSeries;

/** Encodes and decodes load messages as sequences of MessagePack values. */
final class LoadMessageCodec {
  /**
   * Version of the layout, first value of each datagram; each change of the layout increases it.
   */
  private static final int LAYOUT = 5;

  private static final int REPORT = 0;
  private static final int DOMAIN_SUMMARY = 1;
  private static final int FLEET_SUMMARY = 2;
  private static final int CRASH_NEWS = 3;
  private static final int ANNOUNCEMENT_NEWS = 4;

  /** A message of another kind, compressed. */
  private static final int COMPRESSED = 5;

  /**
   * Size from which each message is compressed, in bytes: half of the largest datagram. Smaller
   * ones stay inside the failure domain, except for summaries of domains, and cost more processor
   * time than they save.
   */
  private static final int LARGE_BYTES = 32 * 1024;

  private LoadMessageCodec() {}

  static byte[] encode(LoadMessage message) throws IOException {
    byte[] bytes = encodeUncompressed(message);
    boolean crossesDomains =
        message instanceof LoadSummary summary && summary.scope() == LoadSummary.Scope.DOMAIN;
    if (!crossesDomains && bytes.length < LARGE_BYTES) {
      return bytes;
    }
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      byte[] compressed = MessageCompression.compress(bytes);
      packer.packInt(LAYOUT);
      packer.packInt(COMPRESSED);
      packer.packBinaryHeader(compressed.length);
      packer.writePayload(compressed);
      return packer.toByteArray();
    }
  }

  private static byte[] encodeUncompressed(LoadMessage message) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(LAYOUT);
      if (message instanceof LoadReport report) {
        packer.packInt(REPORT);
        pack(packer, report);
      } else if (message instanceof LoadSummary summary) {
        packer.packInt(
            summary.scope() == LoadSummary.Scope.DOMAIN ? DOMAIN_SUMMARY : FLEET_SUMMARY);
        pack(packer, summary);
      } else if (message instanceof CrashNews news) {
        packer.packInt(CRASH_NEWS);
        pack(packer, news);
      } else if (message instanceof AnnouncementNews news) {
        packer.packInt(ANNOUNCEMENT_NEWS);
        pack(packer, news);
      }
      return packer.toByteArray();
    }
  }

  static LoadMessage decode(byte[] bytes, int length) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
      int kind = unpackKind(unpacker);
      if (kind != COMPRESSED) {
        return unpackMessage(unpacker, kind);
      }
      int size = unpacker.unpackBinaryHeader();
      if (size > length) {
        throw new IOException("a content of " + size + " bytes in " + length + " bytes");
      }
      byte[] message = MessageCompression.decompress(unpacker.readPayload(size));
      try (MessageUnpacker content = MessagePack.newDefaultUnpacker(message)) {
        return unpackMessage(content, unpackKind(content));
      }
    } catch (RuntimeException malformed) {
      // The unpacker throws unchecked exceptions for unexpected types.
      throw new IOException("not a load message", malformed);
    }
  }

  private static int unpackKind(MessageUnpacker unpacker) throws IOException {
    int layout = unpacker.unpackInt();
    if (layout != LAYOUT) {
      throw new IOException("unknown layout " + layout);
    }
    return unpacker.unpackInt();
  }

  private static LoadMessage unpackMessage(MessageUnpacker unpacker, int kind) throws IOException {
    return switch (kind) {
      case REPORT -> unpackReport(unpacker);
      case DOMAIN_SUMMARY -> unpackSummary(unpacker, LoadSummary.Scope.DOMAIN);
      case FLEET_SUMMARY -> unpackSummary(unpacker, LoadSummary.Scope.FLEET);
      case CRASH_NEWS -> unpackNews(unpacker);
      case ANNOUNCEMENT_NEWS -> unpackAnnouncements(unpacker);
      default -> throw new IOException("unknown kind " + kind);
    };
  }

  private static void pack(MessagePacker packer, LoadReport report) throws IOException {
    packer.packString(report.instance());
    packer.packLong(report.incarnation());
    packer.packLong(report.sequence());
    packer.packLong(report.configurationVersion());
    packer.packLong(report.endpointsVersion());
    packer.packInt(report.liveWaiting());
    packCounts(packer, report.batchReady());
    packCounts(packer, report.waitingTokens());
    packer.packMapHeader(report.occupancy().size());
    for (Map.Entry<String, Occupancy> entry : report.occupancy().entrySet()) {
      packer.packString(entry.getKey());
      packer.packInt(entry.getValue().live());
      packer.packInt(entry.getValue().batch());
    }
    packCounts(packer, report.sentToLimited());
    packer.packBoolean(report.leaving());
    pack(packer, report.details());
  }

  private static void pack(MessagePacker packer, FleetDetails details) throws IOException {
    packer.packLong(details.confirmation().version());
    packer.packInt(details.confirmation().ageMillis());
    packer.packLong(details.historyMillis());
    packer.packInt(details.completeHistories());
    packer.packMapHeader(details.workspaces().size());
    for (Map.Entry<String, WorkspaceLoad> entry : details.workspaces().entrySet()) {
      packer.packString(entry.getKey());
      packer.packInt(entry.getValue().sent());
      packer.packInt(entry.getValue().running());
      packer.packInt(entry.getValue().waiting());
      packer.packInt(entry.getValue().retained());
    }
    packer.packMapHeader(details.speeds().size());
    for (Map.Entry<String, SpeedSample> entry : details.speeds().entrySet()) {
      packer.packString(entry.getKey());
      packer.packInt(entry.getValue().count());
      packer.packLong(entry.getValue().thousandths());
    }
  }

  private static FleetDetails unpackDetails(MessageUnpacker unpacker) throws IOException {
    Confirmation confirmation = new Confirmation(unpacker.unpackLong(), unpacker.unpackInt());
    long historyMillis = unpacker.unpackLong();
    int completeHistories = unpacker.unpackInt();
    Map<String, WorkspaceLoad> workspaces = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      workspaces.put(
          unpacker.unpackString(),
          new WorkspaceLoad(
              unpacker.unpackInt(),
              unpacker.unpackInt(),
              unpacker.unpackInt(),
              unpacker.unpackInt()));
    }
    Map<String, SpeedSample> speeds = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      speeds.put(
          unpacker.unpackString(), new SpeedSample(unpacker.unpackInt(), unpacker.unpackLong()));
    }
    return new FleetDetails(confirmation, historyMillis, completeHistories, workspaces, speeds);
  }

  private static LoadReport unpackReport(MessageUnpacker unpacker) throws IOException {
    String instance = unpacker.unpackString();
    long incarnation = unpacker.unpackLong();
    long sequence = unpacker.unpackLong();
    long version = unpacker.unpackLong();
    long endpointsVersion = unpacker.unpackLong();
    int liveWaiting = unpacker.unpackInt();
    Map<String, Integer> ready = unpackCounts(unpacker);
    Map<String, Long> tokens = unpackLongCounts(unpacker);
    Map<String, Occupancy> occupancy = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      occupancy.put(
          unpacker.unpackString(), new Occupancy(unpacker.unpackInt(), unpacker.unpackInt()));
    }
    Map<String, Integer> sent = unpackCounts(unpacker);
    boolean leaving = unpacker.unpackBoolean();
    FleetDetails details = unpackDetails(unpacker);
    return new LoadReport(
        instance,
        incarnation,
        sequence,
        version,
        endpointsVersion,
        liveWaiting,
        ready,
        tokens,
        occupancy,
        sent,
        leaving,
        details);
  }

  private static void pack(MessagePacker packer, LoadSummary summary) throws IOException {
    packer.packString(summary.hub());
    packer.packString(summary.domain());
    packer.packLong(summary.incarnation());
    packer.packLong(summary.sequence());
    LoadTotals totals = summary.totals();
    packer.packInt(totals.reporters());
    packer.packLong(totals.configurationVersion());
    packer.packLong(totals.endpointsVersion());
    packer.packInt(totals.liveWaiting());
    packCounts(packer, totals.batchReady());
    packCounts(packer, totals.waitingTokens());
    packer.packMapHeader(totals.endpoints().size());
    for (Map.Entry<String, EndpointTotal> entry : totals.endpoints().entrySet()) {
      packer.packString(entry.getKey());
      packer.packInt(entry.getValue().live());
      packer.packInt(entry.getValue().batch());
      packer.packString(entry.getValue().firstHolder());
    }
    packCounts(packer, totals.sentToLimited());
    pack(packer, totals.details());
    packer.packMapHeader(summary.reporters().size());
    for (Map.Entry<String, ReporterState> entry : summary.reporters().entrySet()) {
      packer.packString(entry.getKey());
      packer.packLong(entry.getValue().incarnation());
      packer.packLong(entry.getValue().sequence());
      packer.packInt(entry.getValue().ageMillis());
      packer.packBoolean(entry.getValue().leaving());
    }
  }

  private static LoadSummary unpackSummary(MessageUnpacker unpacker, LoadSummary.Scope scope)
      throws IOException {
    String hub = unpacker.unpackString();
    String domain = unpacker.unpackString();
    long incarnation = unpacker.unpackLong();
    long sequence = unpacker.unpackLong();
    int reporterCount = unpacker.unpackInt();
    long version = unpacker.unpackLong();
    long endpointsVersion = unpacker.unpackLong();
    int liveWaiting = unpacker.unpackInt();
    Map<String, Integer> ready = unpackCounts(unpacker);
    Map<String, Long> tokens = unpackLongCounts(unpacker);
    Map<String, EndpointTotal> endpoints = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      endpoints.put(
          unpacker.unpackString(),
          new EndpointTotal(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackString()));
    }
    Map<String, Integer> sent = unpackCounts(unpacker);
    FleetDetails details = unpackDetails(unpacker);
    Map<String, ReporterState> reporters = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      reporters.put(
          unpacker.unpackString(),
          new ReporterState(
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackInt(),
              unpacker.unpackBoolean()));
    }
    return new LoadSummary(
        scope,
        hub,
        domain,
        incarnation,
        sequence,
        new LoadTotals(
            reporterCount,
            version,
            endpointsVersion,
            liveWaiting,
            ready,
            tokens,
            endpoints,
            sent,
            details),
        reporters);
  }

  private static void pack(MessagePacker packer, CrashNews news) throws IOException {
    packer.packString(news.instance());
    packer.packMapHeader(news.series().size());
    for (Map.Entry<String, CrashSeries> entry : news.series().entrySet()) {
      packer.packString(entry.getKey());
      packer.packLong(entry.getValue().number());
      packer.packBoolean(entry.getValue().answered());
      packer.packArrayHeader(entry.getValue().crashes().size());
      for (String crash : entry.getValue().crashes()) {
        packer.packString(crash);
      }
    }
  }

  private static CrashNews unpackNews(MessageUnpacker unpacker) throws IOException {
    String instance = unpacker.unpackString();
    Map<String, CrashSeries> series = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      String key = unpacker.unpackString();
      long number = unpacker.unpackLong();
      boolean answered = unpacker.unpackBoolean();
      List<String> crashes = new ArrayList<>();
      for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
        crashes.add(unpacker.unpackString());
      }
      series.put(key, new CrashSeries(number, crashes, answered));
    }
    return new CrashNews(instance, series);
  }

  private static void pack(MessagePacker packer, AnnouncementNews news) throws IOException {
    packer.packString(news.instance());
    packer.packMapHeader(news.announcements().size());
    for (Map.Entry<String, VersionedAnnouncement> entry : news.announcements().entrySet()) {
      Announcement announcement = entry.getValue().announcement();
      packer.packString(entry.getKey());
      packer.packLong(entry.getValue().number());
      packer.packDouble(announcement.requestsPerSecond());
      packer.packBoolean(announcement.leaving());
    }
  }

  private static AnnouncementNews unpackAnnouncements(MessageUnpacker unpacker) throws IOException {
    String instance = unpacker.unpackString();
    Map<String, VersionedAnnouncement> announcements = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      String endpoint = unpacker.unpackString();
      long number = unpacker.unpackLong();
      double rate = unpacker.unpackDouble();
      announcements.put(
          endpoint,
          new VersionedAnnouncement(number, new Announcement(rate, unpacker.unpackBoolean())));
    }
    return new AnnouncementNews(instance, announcements);
  }

  private static void packCounts(MessagePacker packer, Map<String, ? extends Number> counts)
      throws IOException {
    packer.packMapHeader(counts.size());
    for (Map.Entry<String, ? extends Number> entry : counts.entrySet()) {
      packer.packString(entry.getKey());
      packer.packLong(entry.getValue().longValue());
    }
  }

  private static Map<String, Integer> unpackCounts(MessageUnpacker unpacker) throws IOException {
    Map<String, Integer> counts = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      counts.put(unpacker.unpackString(), unpacker.unpackInt());
    }
    return counts;
  }

  private static Map<String, Long> unpackLongCounts(MessageUnpacker unpacker) throws IOException {
    Map<String, Long> counts = new HashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      counts.put(unpacker.unpackString(), unpacker.unpackLong());
    }
    return counts;
  }
}
