package org.sedgeroad.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against instances that disagree on which ones are live, or agree on a wrong set. */
class GossipMembershipTest {
  private static GossipSimulation startSimulation(int perDomain, String... domains) {
    GossipSimulation simulation = new GossipSimulation(7, List.of(domains));
    simulation.addAll(perDomain);
    simulation.run(5);
    return simulation;
  }

  private static void assertLiveCount(GossipSimulation simulation, int count, String domain) {
    simulation.memberships.forEach(
        (name, membership) -> {
          if (name.startsWith(domain) && !simulation.paused.contains(name)) {
            assertEquals(
                count, membership.liveInstances().size(), name + " " + membership.liveInstances());
          }
        });
  }

  @Nested
  class Tick {
    /**
     * Guards against heartbeats that grow with the domain and exceed the budget of 8 KB/s an
     * instance.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 9, 32})
    void keepsHeartbeatsSmallAndConsidersNoInstanceFailed(int count) {
      GossipSimulation simulation = startSimulation(count, "neuquen-a");
      assertLiveCount(simulation, count, "neuquen-a");
      simulation.sentBytes.clear();
      simulation.run(300);
      long bytes = simulation.sentBytes.values().stream().mapToLong(Long::longValue).sum();
      System.out.printf("heartbeats of %d: %d B/s an instance%n", count, bytes / count / 300);
      assertTrue(bytes / count / 300 < 2_600, "bytes/s " + bytes / count / 300);
      assertEquals(0, simulation.deadEvents);
    }

    @Test
    void considersASilentInstanceFailedFourSecondsAfterItsLastProgress() {
      GossipSimulation simulation = startSimulation(32, "a");
      simulation.paused.add("a-5");
      // The last progress that an instance received may be 1.5 s older than the pause.
      simulation.run(2.5);
      assertLiveCount(simulation, 32, "a");
      simulation.run(4.5);
      assertLiveCount(simulation, 31, "a");
    }

    /**
     * Guards against a process that considers its peers failed after a pause, and against peers
     * that still consider the process failed after it has resumed.
     */
    @Test
    void survivesAPauseOfItsOwnProcess() {
      GossipSimulation simulation = startSimulation(9, "a");
      simulation.paused.add("a-3");
      simulation.run(20);
      simulation.paused.clear();
      long before = simulation.deadEvents;
      simulation.run(3);
      assertLiveCount(simulation, 9, "a");
      assertEquals(before, simulation.deadEvents);
    }

    @Test
    void healsAPartitionInsideADomain() {
      GossipSimulation simulation = startSimulation(9, "a");
      simulation.isPartitioned = (from, to) -> from.compareTo("a-4") < 0 != to.compareTo("a-4") < 0;
      simulation.run(30);
      assertEquals(4, simulation.memberships.get("a-1").liveInstances().size());
      assertEquals(5, simulation.memberships.get("a-8").liveInstances().size());
      simulation.isPartitioned = (from, to) -> false;
      simulation.run(10);
      assertLiveCount(simulation, 9, "a");
    }
  }

  @Nested
  class Receive {
    @Test
    void acceptsARestartUnderTheSameNameEvenWithAnEarlierClock() {
      GossipSimulation simulation = startSimulation(9, "a");
      simulation.memberships.get("a-2").leave();
      simulation.run(3);
      simulation.add("a", 2, 1_000L);
      simulation.run(5);
      assertLiveCount(simulation, 9, "a");
    }

    @Test
    void removesALeavingInstanceThoughItStillSendsHeartbeats() {
      GossipSimulation simulation = startSimulation(9, "a");
      simulation.memberships.get("a-2").leave();
      simulation.run(3);
      simulation.memberships.forEach(
          (name, membership) ->
              assertEquals(name.equals("a-2"), membership.liveInstances().contains("a-2")));
    }

    @Test
    void ignoresInvalidProgressAndOldInfo() {
      GossipMembership membership = new GossipSimulation(1, List.of("a")).add("a", 0, 5);
      MemberInfo info = new MemberInfo("a-1", "10.0.0.2:7100", "a", 9, 70_000, false);
      membership.receive(heartbeat(info, Map.of()), 1, HeartbeatContent.EMPTY);
      membership.receive(
          heartbeat(info.withSequence(3), Map.of(12345, 7)), 2, HeartbeatContent.EMPTY);
      assertEquals(List.of("a-0", "a-1"), membership.liveInstances());
      assertEquals(MemberState.LIVE, membership.statuses().get(0).state());
    }

    private Heartbeat heartbeat(MemberInfo info, Map<Integer, Integer> progress) {
      return new Heartbeat("a-1", List.of(info), progress, Map.of(), Map.of(), false);
    }
  }

  @Nested
  class LiveBridges {
    private final String[] domains = {"a", "b", "c"};

    private void assertSameBridges(GossipSimulation simulation) {
      simulation.memberships.forEach(
          (name, membership) -> {
            for (String domain : domains) {
              GossipMembership memberOfDomain = simulation.memberships.get(domain + "-0");
              assertEquals(
                  memberOfDomain.liveBridges(domain),
                  membership.liveBridges(domain),
                  name + " on " + domain);
            }
          });
    }

    @Test
    void areKnownToEveryInstanceOfEveryDomain() {
      GossipSimulation simulation = startSimulation(9, domains);
      simulation.run(20);
      assertSameBridges(simulation);
      assertLiveCount(simulation, 9, "b");
      // Within this time, instances that became known through seeds and are no bridges are
      // considered
      // failed.
      simulation.run(40);
      simulation.deadEvents = 0;
      simulation.sentBytes.clear();
      simulation.run(120);
      assertEquals(0, simulation.deadEvents);
      assertSameBridges(simulation);
    }

    /**
     * Guards against a past fault: instances of other domains that are no bridges and became known
     * only through seeds were announced again and again, and considered failed each time. The
     * number of instances is the one expected in two years.
     */
    @Test
    void areTheOnlyGossipedInstancesOfThirteenDomains() {
      String[] all = "abcdefghijklm".split("");
      GossipSimulation simulation = startSimulation(32, all);
      simulation.run(55);
      simulation.deadEvents = 0;
      simulation.sentBytes.clear();
      simulation.run(60);
      assertEquals(0, simulation.deadEvents);
      long most = simulation.sentBytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
      System.out.printf("heartbeats of a bridge among 13 domains: %d B/s%n", most / 60);
      assertTrue(most / 60 < 6_000, "bytes/s " + most / 60);
    }

    @Test
    void areReplacedWhenBothFailAtOnce() {
      GossipSimulation simulation = startSimulation(5, domains);
      simulation.run(20);
      List<String> bridges = new ArrayList<>(simulation.memberships.get("a-0").liveBridges("b"));
      bridges.forEach(simulation.memberships::remove);
      simulation.run(40);
      List<String> replacements = simulation.memberships.get("a-0").liveBridges("b");
      assertEquals(2, replacements.size());
      bridges.forEach(failed -> assertFalse(replacements.contains(failed)));
    }

    @Test
    void findEachOtherAgainAfterALongPartition() {
      GossipSimulation simulation = startSimulation(3, domains);
      simulation.run(20);
      simulation.isPartitioned = (from, to) -> from.charAt(0) != to.charAt(0);
      simulation.run(60);
      assertEquals(List.of(), simulation.memberships.get("a-0").liveBridges("b"));
      simulation.isPartitioned = (from, to) -> false;
      simulation.run(20);
      assertSameBridges(simulation);
    }
  }
}
