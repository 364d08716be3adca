package org.sedgeroad.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.sedgeroad.event.LogEvent;

/**
 * Membership by gossip: decides which instances get a heartbeat, what the heartbeat contains, and
 * which instances are considered live.
 *
 * <p>Times and random generators are arguments, and messages are returned instead of sent, so that
 * tests run without a network. Thread-safe.
 *
 * <p>The instances of a failure domain exchange heartbeats with one another. Up to two instances of
 * each domain are its bridges, and the bridges of different domains exchange heartbeats with each
 * other. An instance tracks all instances of its own domain but only the bridges of other domains.
 */
public final class GossipMembership implements MembershipView, PeerDirectory {
  /** Time between two rounds in milliseconds. */
  public static final long ROUND_MILLIS = 500;

  private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS);
  private static final long SUSPECT_AFTER_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long DEAD_AFTER_NANOS = TimeUnit.SECONDS.toNanos(4);

  /**
   * Factor by which the times above are longer for instances of other domains. Their progress takes
   * up to 2 s to reach a bridge of this domain and up to 2 s more to reach the other instances.
   */
  private static final long OTHER_DOMAIN_FACTOR = 4;

  /**
   * Time for which failed instances are kept; longer than a partition of an hour, so that contact
   * can be resumed afterwards.
   */
  private static final long DEAD_RETENTION_NANOS = TimeUnit.HOURS.toNanos(2);

  /** A longer time between two rounds means that this process was paused. */
  private static final long MIN_PAUSE_NANOS = 3 * ROUND_NANOS;

  private static final int FAN_OUT = 3;
  private static final int MAX_ANNOUNCED_MEMBERS = 3;
  private static final int BRIDGES_PER_DOMAIN = 2;

  /**
   * Rounds between two heartbeats to other domains, between two reports of their progress inside
   * this domain, and between two heartbeats to failed instances.
   */
  private static final int BRIDGE_ROUNDS = 4;

  /** Rounds between two heartbeats of a bridge to a seed while it lacks contact. */
  private static final int SEED_ROUNDS = 10;

  /** Rounds after the start during which an instance without live peers contacts seeds. */
  private static final int STARTUP_ROUNDS = 20;

  private static final int MAX_INTRODUCED_MEMBERS = 64;
  private static final int MAX_MISSING_MEMBERS = 8;

  private final GossipSettings settings;
  private final Map<String, KnownMember> members = new TreeMap<>();
  private final Map<Integer, String> namesByKey = new HashMap<>();
  private final List<MembershipEvent> events = new ArrayList<>();
  private MemberInfo self;
  private long round;
  private long lastRoundNanos;
  private volatile List<String> liveInstances;

  private GossipMembership(GossipSettings settings) {
    this.settings = settings;
    this.self =
        new MemberInfo(
            settings.instance(),
            settings.address(),
            settings.domain(),
            settings.incarnation(),
            0,
            false);
    this.liveInstances = List.of(settings.instance());
  }

  /** Returns a membership that holds only this instance and the seeds. */
  public static GossipMembership of(GossipSettings settings) {
    return new GossipMembership(settings);
  }

  @Override
  public List<String> liveInstances() {
    return liveInstances;
  }

  /**
   * Returns the bridges of a domain: the instances, at most two, that exchange heartbeats with
   * other domains.
   */
  public synchronized List<String> liveBridges(String domain) {
    List<String> candidates =
        domain.equals(settings.domain())
            ? liveInstances
            : members.values().stream()
                .filter(KnownMember::isConsideredLive)
                .map(KnownMember::info)
                .filter(info -> info.domain().equals(domain))
                .map(MemberInfo::instance)
                .toList();
    return RendezvousHashing.rank(bridgeKey(domain), candidates).stream()
        .limit(BRIDGES_PER_DOMAIN)
        .toList();
  }

  /** Returns whether this instance is a bridge of its domain. */
  public boolean isBridge() {
    return liveBridges(settings.domain()).contains(settings.instance());
  }

  /** Returns the failure domain of an instance, empty if the instance is unknown. */
  public synchronized Optional<String> domainOf(String instance) {
    return instance.equals(settings.instance())
        ? Optional.of(settings.domain())
        : Optional.ofNullable(members.get(instance)).map(member -> member.info().domain());
  }

  /** Returns all other known instances with their states, in name order. */
  public synchronized List<MemberStatus> statuses() {
    return members.values().stream()
        .map(
            member ->
                new MemberStatus(member.info().instance(), member.info().domain(), member.state()))
        .toList();
  }

  @Override
  public synchronized Optional<InetSocketAddress> find(String instance) {
    KnownMember member = members.get(instance);
    if (member != null) {
      return PeerAddress.parse(member.info().address());
    }
    return settings.seeds().contains(instance) ? PeerAddress.parse(instance) : Optional.empty();
  }

  /** Returns the changes since the last call and removes them. */
  public synchronized List<MembershipEvent> takeEvents() {
    List<MembershipEvent> taken = List.copyOf(events);
    events.clear();
    return taken;
  }

  /**
   * Runs a round: updates the states of all instances and returns the heartbeats to send. Must be
   * called every {@link #ROUND_MILLIS}.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @param random source of randomness
   * @param content content that other components add to the heartbeats
   */
  public synchronized List<OutgoingMessage> tick(
      long nowNanos, RandomGenerator random, HeartbeatContent content) {
    round++;
    skipPause(nowNanos);
    updateStates(nowNanos);
    self = self.withSequence(self.sequence() + 1);
    List<OutgoingMessage> messages = new ArrayList<>();
    for (String target : selectTargets(random)) {
      messages.add(new OutgoingMessage(target, createHeartbeat(target, random, content)));
    }
    for (String target : selectTargetsInOtherDomains(random)) {
      messages.add(new OutgoingMessage(target, heartbeatForOtherDomain(content)));
    }
    return messages;
  }

  /**
   * Applies a heartbeat.
   *
   * @param heartbeat the heartbeat
   * @param nowNanos monotonic time in nanoseconds
   * @param content content that other components add to the answer
   * @return an answer to the sender, empty if none is needed. A sender that was not considered live
   *     gets the instances that it needs for its own membership; any other sender gets the live
   *     instances of this domain that are missing in its heartbeat.
   */
  public synchronized Optional<OutgoingMessage> receive(
      Heartbeat heartbeat, long nowNanos, HeartbeatContent content) {
    boolean newSender =
        !heartbeat.sender().equals(settings.instance())
            && !Optional.ofNullable(members.get(heartbeat.sender()))
                .filter(KnownMember::isConsideredLive)
                .isPresent();
    heartbeat.members().forEach(info -> mergeInfo(info, nowNanos));
    heartbeat.progress().forEach((key, sequence) -> updateMember(key, sequence, nowNanos));
    updateLiveInstances();
    if (!members.containsKey(heartbeat.sender())) {
      return Optional.empty();
    }
    List<MemberInfo> missing =
        newSender ? membersForNewSender(heartbeat.sender()) : missingIn(heartbeat);
    return missing.isEmpty()
        ? Optional.empty()
        : Optional.of(new OutgoingMessage(heartbeat.sender(), createAnswer(missing, content)));
  }

  /** Records that an instance has announced that it is leaving. */
  public synchronized void receiveLeaving(String instance) {
    KnownMember member = members.get(instance);
    if (member != null && member.markLeaving()) {
      recordEvent(LogEvent.INSTANCE_LEAVING, member.info());
      updateLiveInstances();
    }
  }

  /** Marks this instance as leaving in all further heartbeats. */
  public synchronized void leave() {
    self = self.withLeaving();
  }

  private void skipPause(long nowNanos) {
    long gap = nowNanos - lastRoundNanos;
    if (lastRoundNanos != 0 && gap > MIN_PAUSE_NANOS) {
      // Heartbeats that arrived during the pause have not been read yet. With the pause counted as
      // time without progress, all instances would be considered failed.
      members.values().forEach(member -> member.excludePause(gap - ROUND_NANOS));
      recordEvent(LogEvent.PROCESS_PAUSED, self);
    }
    lastRoundNanos = nowNanos;
  }

  private void updateStates(long nowNanos) {
    members
        .values()
        .removeIf(
            member ->
                member.state() == MemberState.DEAD
                    && member.nanosSinceProgress(nowNanos) > DEAD_RETENTION_NANOS);
    namesByKey.values().removeIf(name -> !members.containsKey(name));
    for (KnownMember member : members.values()) {
      long factor = isInOtherDomain(member) ? OTHER_DOMAIN_FACTOR : 1;
      if (member.updateState(nowNanos, factor * SUSPECT_AFTER_NANOS, factor * DEAD_AFTER_NANOS)) {
        boolean dead = member.state() == MemberState.DEAD;
        recordEvent(dead ? LogEvent.INSTANCE_DEAD : LogEvent.INSTANCE_SUSPECTED, member.info());
      }
    }
    updateLiveInstances();
  }

  private void mergeInfo(MemberInfo info, long nowNanos) {
    if (info.instance().equals(settings.instance())) {
      refute(info);
      return;
    }
    KnownMember member = members.get(info.instance());
    if (member == null) {
      members.put(info.instance(), new KnownMember(info, nowNanos));
      namesByKey.put(info.key(), info.instance());
      recordEvent(LogEvent.INSTANCE_LIVE, info);
    } else if (info.isNewerThan(member.info())) {
      updateMember(member, info, nowNanos);
    } else if (info.leaving()
        && info.incarnation() == member.info().incarnation()
        && member.markLeaving()) {
      recordEvent(LogEvent.INSTANCE_LEAVING, info);
    }
  }

  private void updateMember(int key, int shortSequence, long nowNanos) {
    KnownMember member = members.get(namesByKey.getOrDefault(key, ""));
    if (member != null && member.info().distanceTo(shortSequence) > 0) {
      long sequence = member.info().sequence() + member.info().distanceTo(shortSequence);
      updateMember(member, member.info().withSequence(sequence), nowNanos);
    }
  }

  private void updateMember(KnownMember member, MemberInfo newer, long nowNanos) {
    namesByKey.remove(member.info().key());
    namesByKey.put(newer.key(), newer.instance());
    if (member.update(newer, nowNanos)) {
      boolean leaving = member.state() == MemberState.LEAVING;
      recordEvent(leaving ? LogEvent.INSTANCE_LEAVING : LogEvent.INSTANCE_LIVE, newer);
    }
  }

  /**
   * Raises the incarnation of this instance if a peer still holds the state of an earlier process
   * that would take precedence: its start time is later because its clock was ahead, or it has the
   * same incarnation and is leaving. A newer process at another address is not overridden, since it
   * has replaced this one.
   *
   * @param held state of this instance, or of an earlier process, that a peer holds
   */
  private void refute(MemberInfo held) {
    boolean sameAddress = held.address().equals(self.address());
    boolean later = held.incarnation() > self.incarnation();
    boolean left = held.incarnation() == self.incarnation() && held.leaving() && !self.leaving();
    if (sameAddress && (later || left)) {
      self = self.withIncarnation(held.incarnation() + 1);
    }
  }

  private void updateLiveInstances() {
    Set<String> names = new TreeSet<>();
    names.add(settings.instance());
    for (KnownMember member : members.values()) {
      if (member.isConsideredLive() && !isInOtherDomain(member)) {
        names.add(member.info().instance());
      }
    }
    if (!liveInstances.equals(List.copyOf(names))) {
      liveInstances = List.copyOf(names);
    }
  }

  private void recordEvent(LogEvent event, MemberInfo info) {
    events.add(new MembershipEvent(event, info.instance(), info.domain()));
  }

  private boolean isInOtherDomain(KnownMember member) {
    return !member.info().domain().equals(settings.domain());
  }

  private static String bridgeKey(String domain) {
    return "bridge/" + domain;
  }

  private Set<String> selectTargets(RandomGenerator random) {
    List<String> peers = names(member -> member.isConsideredLive() && !isInOtherDomain(member));
    Set<String> targets = new LinkedHashSet<>(pickRandom(peers, FAN_OUT, random));
    if (round % BRIDGE_ROUNDS == 0) {
      // After a partition inside the domain, contact is resumed only by heartbeats to instances
      // that are considered failed.
      targets.addAll(
          pickRandom(
              names(member -> member.state() == MemberState.DEAD && !isInOtherDomain(member)),
              1,
              random));
    }
    boolean starting = peers.isEmpty() && round <= STARTUP_ROUNDS;
    if (starting || (round % SEED_ROUNDS == 0 && isBridge() && lacksContact(peers))) {
      targets.addAll(pickRandom(unknownSeeds(), starting ? FAN_OUT : 1, random));
    }
    return targets;
  }

  /**
   * Returns whether there is no live peer in this domain, or no live bridge in one of the others.
   */
  private boolean lacksContact(List<String> peers) {
    return peers.isEmpty()
        || settings.domains().stream()
            .filter(domain -> !domain.equals(settings.domain()))
            .anyMatch(domain -> liveBridges(domain).isEmpty());
  }

  private Set<String> selectTargetsInOtherDomains(RandomGenerator random) {
    Set<String> targets = new LinkedHashSet<>();
    if (round % BRIDGE_ROUNDS != 0 || !isBridge()) {
      return targets;
    }
    Set<String> domains = new TreeSet<>(settings.domains());
    members.values().forEach(member -> domains.add(member.info().domain()));
    domains.remove(settings.domain());
    for (String domain : domains) {
      List<String> bridges = liveBridges(domain);
      targets.addAll(
          bridges.isEmpty()
              ? pickRandom(
                  names(member -> member.info().domain().equals(domain)),
                  BRIDGES_PER_DOMAIN,
                  random)
              : bridges);
    }
    return targets;
  }

  private List<String> unknownSeeds() {
    Set<String> known = new TreeSet<>();
    known.add(self.address());
    members.values().stream()
        .filter(KnownMember::isConsideredLive)
        .forEach(member -> known.add(member.info().address()));
    return settings.seeds().stream().filter(seed -> !known.contains(seed)).toList();
  }

  private List<String> names(java.util.function.Predicate<KnownMember> filter) {
    return members.values().stream()
        .filter(filter)
        .map(member -> member.info().instance())
        .toList();
  }

  private static List<String> pickRandom(List<String> names, int count, RandomGenerator random) {
    List<String> remaining = new ArrayList<>(names);
    List<String> picked = new ArrayList<>();
    while (picked.size() < count && !remaining.isEmpty()) {
      picked.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return picked;
  }

  private Heartbeat createHeartbeat(
      String target, RandomGenerator random, HeartbeatContent content) {
    Set<MemberInfo> infos = new LinkedHashSet<>();
    infos.add(self);
    List<KnownMember> gossipedMembers = gossipedMembers();
    gossipedMembers.stream()
        .filter(KnownMember::hasAnnouncement)
        .limit(MAX_ANNOUNCED_MEMBERS)
        .forEach(
            member -> {
              member.countAnnouncement();
              infos.add(member.info());
            });
    if (!gossipedMembers.isEmpty()) {
      // One more instance is added at random, for receivers that missed its announcement.
      infos.add(gossipedMembers.get(random.nextInt(gossipedMembers.size())).info());
    }
    Map<Integer, Integer> progress = new HashMap<>();
    for (KnownMember member : gossipedMembers) {
      if (!isInOtherDomain(member) || round % BRIDGE_ROUNDS == 0) {
        progress.put(member.info().key(), member.info().shortSequence());
      }
    }
    return new Heartbeat(
        settings.instance(),
        List.copyOf(infos),
        progress,
        content.versions(),
        content.liveCounts().apply(target),
        content.storeUnreachable());
  }

  /**
   * Returns a heartbeat for another domain: the complete state of this instance and of the bridges.
   */
  private Heartbeat heartbeatForOtherDomain(HeartbeatContent content) {
    List<MemberInfo> bridges =
        liveBridges(settings.domain()).stream()
            .map(members::get)
            .flatMap(Stream::ofNullable)
            .map(KnownMember::info)
            .toList();
    return new Heartbeat(
        settings.instance(),
        Stream.concat(Stream.of(self), bridges.stream()).toList(),
        Map.of(),
        content.versions(),
        Map.of(),
        content.storeUnreachable());
  }

  /**
   * Returns the states for an answer to a sender that was not considered live: the live instances
   * of its domain, the live bridges, and the state of the sender itself, which the sender overrides
   * if it is that of an earlier process.
   */
  private List<MemberInfo> membersForNewSender(String newSender) {
    String domain = members.get(newSender).info().domain();
    Set<String> bridges = bridgesOfOtherDomains();
    bridges.addAll(liveBridges(settings.domain()));
    return members.values().stream()
        .filter(
            member ->
                member.info().instance().equals(newSender)
                    || (member.isConsideredLive()
                        && (domain.equals(member.info().domain())
                            || bridges.contains(member.info().instance()))))
        .map(KnownMember::info)
        .limit(MAX_INTRODUCED_MEMBERS)
        .toList();
  }

  /**
   * Returns the instances that heartbeats list: those of this domain, the bridges of other domains,
   * and instances of other domains whose leaving is still announced. Any other instances of other
   * domains became known only through seeds. They send no heartbeats to this domain, so the
   * instances to which they were listed would soon consider them failed.
   */
  private List<KnownMember> gossipedMembers() {
    Set<String> bridges = bridgesOfOtherDomains();
    return members.values().stream()
        .filter(KnownMember::isGossiped)
        .filter(
            member ->
                !isInOtherDomain(member)
                    || bridges.contains(member.info().instance())
                    || (member.state() == MemberState.LEAVING && member.hasAnnouncement()))
        .toList();
  }

  private Set<String> bridgesOfOtherDomains() {
    Set<String> domains = new TreeSet<>();
    members.values().forEach(member -> domains.add(member.info().domain()));
    domains.remove(settings.domain());
    Set<String> bridges = new TreeSet<>();
    domains.forEach(domain -> bridges.addAll(liveBridges(domain)));
    return bridges;
  }

  /**
   * Returns live instances of this domain that are missing in a heartbeat; none for answers and
   * heartbeats of other domains, which list only a few instances.
   */
  private List<MemberInfo> missingIn(Heartbeat heartbeat) {
    if (heartbeat.progress().isEmpty()) {
      return List.of();
    }
    Set<String> listed = new TreeSet<>();
    listed.add(heartbeat.sender());
    heartbeat.members().forEach(info -> listed.add(info.instance()));
    return members.values().stream()
        .filter(member -> member.isConsideredLive() && !isInOtherDomain(member))
        .map(KnownMember::info)
        .filter(
            info ->
                !listed.contains(info.instance()) && !heartbeat.progress().containsKey(info.key()))
        .limit(MAX_MISSING_MEMBERS)
        .toList();
  }

  private Heartbeat createAnswer(List<MemberInfo> infos, HeartbeatContent content) {
    return new Heartbeat(
        settings.instance(),
        Stream.concat(Stream.of(self), infos.stream()).toList(),
        Map.of(),
        content.versions(),
        Map.of(),
        content.storeUnreachable());
  }
}
