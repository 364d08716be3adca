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
 * Membership by gossip: decides which instances get a heartbeat, what it holds, and which instances
 * are live.
 *
 * <p>Times and random generators are arguments, and messages are returned instead of sent, so that
 * tests run without a network. Thread-safe.
 *
 * <p>Every instance of a failure domain exchanges heartbeats with the others of its domain. Of
 * another domain it follows only the bridges, at most two instances of that domain; the bridges of
 * different domains exchange heartbeats with each other.
 */
public final class GossipMembership implements MembershipView, PeerDirectory {
  /** Time between two rounds in milliseconds. */
  public static final long ROUND_MILLIS = 500;

  private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS);
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long DEATH_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Changes in another domain take up to 2 s to reach a bridge and up to 2 s from there. */
  private static final long FOREIGN_FACTOR = 4;

  /**
   * Failed instances are kept for longer than a partition of an hour, so that contact can be
   * resumed.
   */
  private static final long MEMORY_NANOS = TimeUnit.HOURS.toNanos(2);

  /** A longer time between two rounds means that this process was paused. */
  private static final long PAUSE_NANOS = 3 * ROUND_NANOS;

  private static final int TARGETS = 3;
  private static final int ANNOUNCED = 3;
  private static final int BRIDGES = 2;
  private static final int BRIDGE_ROUNDS = 4;
  private static final int SEED_ROUNDS = 10;
  private static final int START_ROUNDS = 20;
  private static final int REPLY_MEMBERS = 64;
  private static final int MISSING_MEMBERS = 8;

  private final GossipSettings settings;
  private final Map<String, KnownMember> members = new TreeMap<>();
  private final Map<Integer, String> namesByKey = new HashMap<>();
  private final List<MembershipEvent> events = new ArrayList<>();
  private MemberSighting self;
  private long round;
  private long lastRoundNanos;
  private volatile List<String> live;

  private GossipMembership(GossipSettings settings) {
    this.settings = settings;
    this.self =
        new MemberSighting(
            settings.instance(),
            settings.address(),
            settings.domain(),
            settings.incarnation(),
            0,
            false);
    this.live = List.of(settings.instance());
  }

  /** Returns a membership that holds only this instance and the seeds. */
  public static GossipMembership of(GossipSettings settings) {
    return new GossipMembership(settings);
  }

  // -----------------------------------------------------------------------

  @Override
  public List<String> liveInstances() {
    return live;
  }

  /**
   * Returns the bridges of a domain: the instances, at most two, that exchange heartbeats with
   * other domains.
   */
  public synchronized List<String> liveBridges(String domain) {
    List<String> candidates =
        domain.equals(settings.domain())
            ? live
            : members.values().stream()
                .filter(KnownMember::isUsable)
                .map(KnownMember::sighting)
                .filter(sighting -> sighting.domain().equals(domain))
                .map(MemberSighting::instance)
                .toList();
    return Rendezvous.rank(bridgeKey(domain), candidates).stream().limit(BRIDGES).toList();
  }

  /** Returns whether this instance is a bridge of its domain. */
  public boolean isBridge() {
    return liveBridges(settings.domain()).contains(settings.instance());
  }

  /** Returns the failure domain of an instance, empty if the instance is unknown. */
  public synchronized Optional<String> domainOf(String instance) {
    return instance.equals(settings.instance())
        ? Optional.of(settings.domain())
        : Optional.ofNullable(members.get(instance)).map(member -> member.sighting().domain());
  }

  /** Returns all other instances that are held, with their states, in name order. */
  public synchronized List<MemberStatus> statuses() {
    return members.values().stream()
        .map(
            member ->
                new MemberStatus(
                    member.sighting().instance(), member.sighting().domain(), member.state()))
        .toList();
  }

  @Override
  public synchronized Optional<InetSocketAddress> find(String instance) {
    KnownMember member = members.get(instance);
    if (member != null) {
      return PeerAddress.parse(member.sighting().address());
    }
    return settings.seeds().contains(instance) ? PeerAddress.parse(instance) : Optional.empty();
  }

  /** Returns the changes since the last call and removes them. */
  public synchronized List<MembershipEvent> takeEvents() {
    List<MembershipEvent> taken = List.copyOf(events);
    events.clear();
    return taken;
  }

  // -----------------------------------------------------------------------

  /**
   * Runs a round: updates the states of all instances and returns the heartbeats to send. Must be
   * called every {@link #ROUND_MILLIS}.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @param random source of randomness
   * @param content content that other parts add to the heartbeats
   */
  public synchronized List<Outgoing> tick(
      long nowNanos, RandomGenerator random, HeartbeatContent content) {
    round++;
    skipPause(nowNanos);
    judge(nowNanos);
    self = self.withSequence(self.sequence() + 1);
    List<Outgoing> messages = new ArrayList<>();
    for (String target : targets(random)) {
      messages.add(new Outgoing(target, heartbeat(target, random, content)));
    }
    for (String target : foreignTargets(random)) {
      messages.add(new Outgoing(target, foreignHeartbeat(content)));
    }
    return messages;
  }

  /**
   * Applies a heartbeat.
   *
   * @param heartbeat the heartbeat
   * @param nowNanos monotonic time in nanoseconds
   * @param content content that other parts add to the answer
   * @return an answer with the instances that the sender needs to hold if it was not known to be
   *     live; otherwise an answer with instances of this domain that are missing in the heartbeat,
   *     empty if none is
   */
  public synchronized Optional<Outgoing> receive(
      Heartbeat heartbeat, long nowNanos, HeartbeatContent content) {
    boolean stranger =
        !heartbeat.sender().equals(settings.instance())
            && !Optional.ofNullable(members.get(heartbeat.sender()))
                .filter(KnownMember::isUsable)
                .isPresent();
    heartbeat.members().forEach(sighting -> merge(sighting, nowNanos));
    heartbeat.progress().forEach((key, sequence) -> advance(key, sequence, nowNanos));
    publish();
    if (!members.containsKey(heartbeat.sender())) {
      return Optional.empty();
    }
    List<MemberSighting> missing = stranger ? introduction(heartbeat.sender()) : missing(heartbeat);
    return missing.isEmpty()
        ? Optional.empty()
        : Optional.of(new Outgoing(heartbeat.sender(), answer(missing, content)));
  }

  /** Records that an instance has announced that it is leaving. */
  public synchronized void receiveLeaving(String instance) {
    KnownMember member = members.get(instance);
    if (member != null && member.leave()) {
      note(LogEvent.MEMBER_LEAVING, member.sighting());
      publish();
    }
  }

  /** Marks this instance as leaving in all further heartbeats. */
  public synchronized void leave() {
    self = self.withLeaving();
  }

  // -----------------------------------------------------------------------

  private void skipPause(long nowNanos) {
    long gap = nowNanos - lastRoundNanos;
    if (lastRoundNanos != 0 && gap > PAUSE_NANOS) {
      // Heartbeats sent during the pause are still in socket buffers. Updating states by the
      // elapsed time would declare all instances dead.
      members.values().forEach(member -> member.skip(gap - ROUND_NANOS));
      note(LogEvent.PROCESS_PAUSED, self);
    }
    lastRoundNanos = nowNanos;
  }

  private void judge(long nowNanos) {
    members
        .values()
        .removeIf(
            member ->
                member.state() == MemberState.DEAD && member.silentNanos(nowNanos) > MEMORY_NANOS);
    namesByKey.values().removeIf(name -> !members.containsKey(name));
    for (KnownMember member : members.values()) {
      long factor = isForeign(member) ? FOREIGN_FACTOR : 1;
      if (member.age(nowNanos, factor * SUSPICION_NANOS, factor * DEATH_NANOS)) {
        boolean dead = member.state() == MemberState.DEAD;
        note(dead ? LogEvent.MEMBER_DEAD : LogEvent.MEMBER_SUSPECTED, member.sighting());
      }
    }
    publish();
  }

  private void merge(MemberSighting sighting, long nowNanos) {
    if (sighting.instance().equals(settings.instance())) {
      refute(sighting);
      return;
    }
    KnownMember member = members.get(sighting.instance());
    if (member == null) {
      members.put(sighting.instance(), new KnownMember(sighting, nowNanos));
      namesByKey.put(sighting.key(), sighting.instance());
      note(LogEvent.MEMBER_LIVE, sighting);
    } else if (sighting.isNewerThan(member.sighting())) {
      advance(member, sighting, nowNanos);
    } else if (sighting.leaving()
        && sighting.incarnation() == member.sighting().incarnation()
        && member.leave()) {
      note(LogEvent.MEMBER_LEAVING, sighting);
    }
  }

  private void advance(int key, int shortSequence, long nowNanos) {
    KnownMember member = members.get(namesByKey.getOrDefault(key, ""));
    if (member != null && member.sighting().stepsTo(shortSequence) > 0) {
      long sequence = member.sighting().sequence() + member.sighting().stepsTo(shortSequence);
      advance(member, member.sighting().withSequence(sequence), nowNanos);
    }
  }

  private void advance(KnownMember member, MemberSighting newer, long nowNanos) {
    namesByKey.remove(member.sighting().key());
    namesByKey.put(newer.key(), newer.instance());
    if (member.advance(newer, nowNanos)) {
      boolean leaving = member.state() == MemberState.LEAVING;
      note(leaving ? LogEvent.MEMBER_LEAVING : LogEvent.MEMBER_LIVE, newer);
    }
  }

  /**
   * Raises the own incarnation if others hold an earlier process of this name that seems newer: its
   * clock was ahead, or it was leaving. A newer process at another address is not overridden, since
   * it has replaced this one.
   */
  private void refute(MemberSighting remembered) {
    boolean sameAddress = remembered.address().equals(self.address());
    boolean later = remembered.incarnation() > self.incarnation();
    boolean left =
        remembered.incarnation() == self.incarnation() && remembered.leaving() && !self.leaving();
    if (sameAddress && (later || left)) {
      self = self.withIncarnation(remembered.incarnation() + 1);
    }
  }

  private void publish() {
    Set<String> names = new TreeSet<>();
    names.add(settings.instance());
    for (KnownMember member : members.values()) {
      if (member.isUsable() && !isForeign(member)) {
        names.add(member.sighting().instance());
      }
    }
    if (!live.equals(List.copyOf(names))) {
      live = List.copyOf(names);
    }
  }

  private void note(LogEvent event, MemberSighting sighting) {
    events.add(new MembershipEvent(event, sighting.instance(), sighting.domain()));
  }

  private boolean isForeign(KnownMember member) {
    return !member.sighting().domain().equals(settings.domain());
  }

  private static String bridgeKey(String domain) {
    return "bridge/" + domain;
  }

  // -----------------------------------------------------------------------

  private Set<String> targets(RandomGenerator random) {
    List<String> peers = names(member -> member.isUsable() && !isForeign(member));
    Set<String> targets = new LinkedHashSet<>(pick(peers, TARGETS, random));
    if (round % BRIDGE_ROUNDS == 0) {
      // A partition inside the domain heals only if instances that are considered failed are
      // contacted.
      targets.addAll(
          pick(
              names(member -> member.state() == MemberState.DEAD && !isForeign(member)),
              1,
              random));
    }
    boolean starting = peers.isEmpty() && round <= START_ROUNDS;
    if (starting || (round % SEED_ROUNDS == 0 && isBridge() && lacksContact(peers))) {
      targets.addAll(pick(unknownSeeds(), starting ? TARGETS : 1, random));
    }
    return targets;
  }

  /**
   * Returns whether there is no live peer in the own domain or no live bridge of another domain.
   */
  private boolean lacksContact(List<String> peers) {
    return peers.isEmpty()
        || settings.domains().stream()
            .filter(domain -> !domain.equals(settings.domain()))
            .anyMatch(domain -> liveBridges(domain).isEmpty());
  }

  private Set<String> foreignTargets(RandomGenerator random) {
    Set<String> targets = new LinkedHashSet<>();
    if (round % BRIDGE_ROUNDS != 0 || !isBridge()) {
      return targets;
    }
    Set<String> domains = new TreeSet<>(settings.domains());
    members.values().forEach(member -> domains.add(member.sighting().domain()));
    domains.remove(settings.domain());
    for (String domain : domains) {
      List<String> bridges = liveBridges(domain);
      targets.addAll(
          bridges.isEmpty()
              ? pick(names(member -> member.sighting().domain().equals(domain)), BRIDGES, random)
              : bridges);
    }
    return targets;
  }

  private List<String> unknownSeeds() {
    Set<String> known = new TreeSet<>();
    known.add(self.address());
    members.values().stream()
        .filter(KnownMember::isUsable)
        .forEach(member -> known.add(member.sighting().address()));
    return settings.seeds().stream().filter(seed -> !known.contains(seed)).toList();
  }

  private List<String> names(java.util.function.Predicate<KnownMember> filter) {
    return members.values().stream()
        .filter(filter)
        .map(member -> member.sighting().instance())
        .toList();
  }

  private static List<String> pick(List<String> names, int count, RandomGenerator random) {
    List<String> left = new ArrayList<>(names);
    List<String> picked = new ArrayList<>();
    while (picked.size() < count && !left.isEmpty()) {
      picked.add(left.remove(random.nextInt(left.size())));
    }
    return picked;
  }

  // -----------------------------------------------------------------------

  private Heartbeat heartbeat(String target, RandomGenerator random, HeartbeatContent content) {
    Set<MemberSighting> whole = new LinkedHashSet<>();
    whole.add(self);
    List<KnownMember> gossiped = gossiped();
    gossiped.stream()
        .filter(KnownMember::hasAnnouncement)
        .limit(ANNOUNCED)
        .forEach(
            member -> {
              member.announced();
              whole.add(member.sighting());
            });
    if (!gossiped.isEmpty()) {
      // Adds one more at random, for instances that missed its announcement.
      whole.add(gossiped.get(random.nextInt(gossiped.size())).sighting());
    }
    Map<Integer, Integer> progress = new HashMap<>();
    for (KnownMember member : gossiped) {
      if (!isForeign(member) || round % BRIDGE_ROUNDS == 0) {
        progress.put(member.sighting().key(), member.sighting().shortSequence());
      }
    }
    return new Heartbeat(
        settings.instance(),
        List.copyOf(whole),
        progress,
        content.versions(),
        content.liveCounts().apply(target),
        content.cutOff());
  }

  /**
   * Returns a heartbeat for another domain: the complete state of this instance and of the bridges.
   */
  private Heartbeat foreignHeartbeat(HeartbeatContent content) {
    List<MemberSighting> bridges =
        liveBridges(settings.domain()).stream()
            .map(members::get)
            .flatMap(Stream::ofNullable)
            .map(KnownMember::sighting)
            .toList();
    return new Heartbeat(
        settings.instance(),
        Stream.concat(Stream.of(self), bridges.stream()).toList(),
        Map.of(),
        content.versions(),
        Map.of(),
        content.cutOff());
  }

  /**
   * Returns the states for an answer to a sender that was not known to be live: the live instances
   * of its domain, the bridges, and what is held of the sender itself, for it to refute.
   */
  private List<MemberSighting> introduction(String receiver) {
    String domain = members.get(receiver).sighting().domain();
    Set<String> bridges = foreignBridges();
    bridges.addAll(liveBridges(settings.domain()));
    return members.values().stream()
        .filter(
            member ->
                member.sighting().instance().equals(receiver)
                    || (member.isUsable()
                        && (domain.equals(member.sighting().domain())
                            || bridges.contains(member.sighting().instance()))))
        .map(KnownMember::sighting)
        .limit(REPLY_MEMBERS)
        .toList();
  }

  /**
   * Returns the instances that heartbeats mention: those of this domain, the bridges of others, and
   * instances of others whose leaving is still announced. Any other instances of other domains were
   * only met through seeds; to mention them would only lead to their being declared dead.
   */
  private List<KnownMember> gossiped() {
    Set<String> bridges = foreignBridges();
    return members.values().stream()
        .filter(KnownMember::isGossiped)
        .filter(
            member ->
                !isForeign(member)
                    || bridges.contains(member.sighting().instance())
                    || (member.state() == MemberState.LEAVING && member.hasAnnouncement()))
        .toList();
  }

  private Set<String> foreignBridges() {
    Set<String> domains = new TreeSet<>();
    members.values().forEach(member -> domains.add(member.sighting().domain()));
    domains.remove(settings.domain());
    Set<String> bridges = new TreeSet<>();
    domains.forEach(domain -> bridges.addAll(liveBridges(domain)));
    return bridges;
  }

  /**
   * Returns instances of this domain that are missing in a heartbeat; none for answers and other
   * domains.
   */
  private List<MemberSighting> missing(Heartbeat heartbeat) {
    if (heartbeat.progress().isEmpty()) {
      return List.of();
    }
    Set<String> listed = new TreeSet<>();
    listed.add(heartbeat.sender());
    heartbeat.members().forEach(sighting -> listed.add(sighting.instance()));
    return members.values().stream()
        .filter(member -> member.isUsable() && !isForeign(member))
        .map(KnownMember::sighting)
        .filter(
            sighting ->
                !listed.contains(sighting.instance())
                    && !heartbeat.progress().containsKey(sighting.key()))
        .limit(MISSING_MEMBERS)
        .toList();
  }

  private Heartbeat answer(List<MemberSighting> sightings, HeartbeatContent content) {
    return new Heartbeat(
        settings.instance(),
        Stream.concat(Stream.of(self), sightings.stream()).toList(),
        Map.of(),
        content.versions(),
        Map.of(),
        content.cutOff());
  }
}
