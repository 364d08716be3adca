package org.sedgeroad.peer;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * Simulates the memberships of many instances on a virtual clock and counts the encoded bytes that
 * each instance sends.
 */
final class GossipSimulation {
  /** Versions of the configuration in every heartbeat; they count towards the encoded bytes. */
  static final Map<String, Long> VERSIONS =
      Map.of(
          "members",
          81_234L,
          "models",
          80_001L,
          "limits",
          81_240L,
          "shares",
          81_239L,
          "jobs",
          81_245L,
          "quarantines",
          80_100L,
          "orders",
          81_000L);

  private static final HeartbeatContent CONTENT =
      new HeartbeatContent(VERSIONS, target -> Map.of(), false);
  private static final long STEP_NANOS = 10_000_000L;

  final Map<String, GossipMembership> memberships = new LinkedHashMap<>();
  final Set<String> paused = new HashSet<>();
  final Map<String, Long> sentBytes = new LinkedHashMap<>();
  BiPredicate<String, String> isPartitioned = (from, to) -> false;
  long deadEvents;
  long nowNanos = 1_000_000_000L;
  private final Random random;
  private final List<String> domains;
  private final Map<String, Long> nextTick = new LinkedHashMap<>();
  private final PriorityQueue<InFlight> network = new PriorityQueue<>();

  GossipSimulation(long seed, List<String> domains) {
    this.random = new Random(seed);
    this.domains = domains;
  }

  /** Adds an instance {@code DOMAIN-NUMBER}, or replaces it by a restarted one. */
  GossipMembership add(String domain, int number, long incarnation) {
    String name = domain + "-" + number;
    List<String> seeds = domains.stream().map(each -> address(each, 0)).toList();
    GossipMembership membership =
        GossipMembership.of(
            new GossipSettings(name, domain, address(domain, number), incarnation, seeds, domains));
    memberships.put(name, membership);
    // The first round starts at a random time within the period of 500 ms.
    nextTick.put(name, nowNanos + (long) (random.nextDouble() * 500e6));
    return membership;
  }

  void addAll(int perDomain) {
    for (String domain : domains) {
      for (int i = 0; i < perDomain; i++) {
        // An incarnation is a start time in milliseconds since 1970.
        add(domain, i, 1_796_000_000_000L + i);
      }
    }
  }

  private String address(String domain, int number) {
    return "10.0." + domains.indexOf(domain) + "." + (number + 1) + ":7100";
  }

  /** Returns the name of the receiver of a message, whose target may be the address of a seed. */
  private String nameOf(String target) {
    for (String domain : domains) {
      if (target.equals(address(domain, 0))) {
        return domain + "-0";
      }
    }
    return target;
  }

  /** Advances the virtual time, runs due rounds and delivers due messages. */
  void run(double seconds) {
    long end = nowNanos + (long) (seconds * 1e9);
    while (nowNanos < end) {
      nowNanos += STEP_NANOS;
      for (Map.Entry<String, GossipMembership> entry : memberships.entrySet()) {
        if (!paused.contains(entry.getKey()) && nowNanos >= nextTick.get(entry.getKey())) {
          // The period of the rounds is 500 ms.
          nextTick.put(entry.getKey(), nowNanos + 500_000_000L);
          entry
              .getValue()
              .tick(nowNanos, random, CONTENT)
              .forEach(outgoing -> send(entry.getKey(), outgoing));
        }
      }
      while (!network.isEmpty() && network.peek().at <= nowNanos) {
        deliver(network.remove());
      }
      memberships
          .values()
          .forEach(
              membership ->
                  // 6012 is the number of LogEvent.INSTANCE_DEAD.
                  deadEvents +=
                      membership.takeEvents().stream()
                          .filter(event -> event.event().number() == 6012)
                          .count());
    }
  }

  private void send(String from, OutgoingMessage outgoing) {
    Frame frame = Frame.of(Frame.Kind.ONE_WAY, 0, outgoing.message());
    sentBytes.merge(from, (long) FrameCodec.encode(frame).remaining(), Long::sum);
    network.add(
        new InFlight(
            nowNanos + 1_000_000L + random.nextInt(5_000_000),
            from,
            nameOf(outgoing.target()),
            (Heartbeat) outgoing.message()));
  }

  private void deliver(InFlight message) {
    GossipMembership membership = memberships.get(message.to);
    if (membership != null
        && !paused.contains(message.to)
        && !paused.contains(message.from)
        && !isPartitioned.test(message.from, message.to)) {
      membership
          .receive(message.heartbeat, nowNanos, CONTENT)
          .ifPresent(outgoing -> send(message.to, outgoing));
    }
  }

  private record InFlight(long at, String from, String to, Heartbeat heartbeat)
      implements Comparable<InFlight> {
    @Override
    public int compareTo(InFlight other) {
      return Long.compare(at, other.at);
    }
  }
}
