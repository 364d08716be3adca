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
 * Membership by gossip: decides whom to send heartbeats to, what they hold, and who is live.
 *
 * <p>Time and randomness are arguments and messages are returned, so that tests run it without a
 * network. Thread-safe. Instances of the own failure domain are followed closely; of each other
 * domain only its bridges are, over the bridges of the own domain.
 */
public final class GossipMembership implements MembershipView, PeerDirectory {
  /** Time between two rounds in milliseconds. */
  public static final long ROUND_MILLIS = 500;

  private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS);
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long DEATH_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** News of another domain comes every 2 s to a bridge and every 2 s from there. */
  private static final long FOREIGN_FACTOR = 4;

  /** Dead instances stay known for longer than a partition of an hour, to find them again. */
  private static final long MEMORY_NANOS = TimeUnit.HOURS.toNanos(2);

  /** A gap this long between two rounds means that this process did not run. */
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

  /** Returns a membership that knows only this instance and the seeds. */
  public static GossipMembership of(GossipSettings settings) {
    return new GossipMembership(settings);
  }

  // -----------------------------------------------------------------------

  @Override
  public List<String> liveInstances() {
    return live;
  }

  /** Returns the instances, at most two, that keep contact between a domain and the others. */
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

  /** Returns the failure domain of an instance, empty if the instance is not known. */
  public synchronized Optional<String> domainOf(String instance) {
    return instance.equals(settings.instance())
        ? Optional.of(settings.domain())
        : Optional.ofNullable(members.get(instance)).map(member -> member.sighting().domain());
  }

  /** Returns all known other instances with their state, in name order. */
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

  /** Returns and forgets the changes since the last call. */
  public synchronized List<MembershipEvent> takeEvents() {
    List<MembershipEvent> taken = List.copyOf(events);
    events.clear();
    return taken;
  }

  // -----------------------------------------------------------------------

  /**
   * Begins a round: judges all instances and returns the heartbeats to send. Call it every {@link
   * #ROUND_MILLIS}.
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
   * Takes a heartbeat.
   *
   * @return an answer with all that is known, if the sender was not known to be live; else with the
   *     instances of this domain that the heartbeat should list and does not
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

  /** Takes the notice that an instance is leaving. */
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
      // Heartbeats of that time wait in socket buffers; judging now would declare everyone dead.
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
   * Replaces what others remember of an earlier process of this name that started later by its
   * clock, or that left. A newer process at another address is not refuted: it took our place.
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
      // A partition inside the domain heals only if someone calls those believed dead.
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

  /** Returns whether no peer of the own domain or no bridge of another domain is live. */
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
      // One more at random, for instances that missed the announcement.
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

  /** Returns a heartbeat for another domain: the bridges of this one, with their sequences. */
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
   * Returns the live instances of the receiver's domain, the bridges, and what is remembered of the
   * receiver, for it to refute.
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
   * Returns the instances to tell others of: those of this domain and the bridges of the others.
   * Further instances of other domains are met through the seeds and would only be declared dead.
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

  /** Returns instances of this domain that the sender of a heartbeat does not know. */
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
