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
  private static GossipSimulation started(int perDomain, String... domains) {
    GossipSimulation simulation = new GossipSimulation(7, List.of(domains));
    simulation.addAll(perDomain);
    simulation.run(5);
    return simulation;
  }

  private static void assertAllSee(GossipSimulation simulation, int count, String domain) {
    simulation.nodes.forEach(
        (name, node) -> {
          if (name.startsWith(domain) && !simulation.paused.contains(name)) {
            assertEquals(count, node.liveInstances().size(), name + " " + node.liveInstances());
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
    void staysSmallAndDeclaresNobodyDead(int count) {
      GossipSimulation simulation = started(count, "neuquen-a");
      assertAllSee(simulation, count, "neuquen-a");
      simulation.sentBytes.clear();
      simulation.run(300);
      long bytes = simulation.sentBytes.values().stream().mapToLong(Long::longValue).sum();
      System.out.printf("heartbeats of %d: %d B/s an instance%n", count, bytes / count / 300);
      assertTrue(bytes / count / 300 < 2_600, "bytes/s " + bytes / count / 300);
      assertEquals(0, simulation.deaths);
    }

    @Test
    void declaresASilentInstanceDeadFourSecondsAfterItsLastProgress() {
      GossipSimulation simulation = started(32, "a");
      simulation.paused.add("a-5");
      // The last progress that an instance received may be 1.5 s older than the pause.
      simulation.run(2.5);
      assertAllSee(simulation, 32, "a");
      simulation.run(4.5);
      assertAllSee(simulation, 31, "a");
    }

    /**
     * Guards against a resumed process that drops its peers or that its peers keep considering
     * failed.
     */
    @Test
    void survivesAPauseOfItsOwnProcess() {
      GossipSimulation simulation = started(9, "a");
      simulation.paused.add("a-3");
      simulation.run(20);
      simulation.paused.clear();
      long before = simulation.deaths;
      simulation.run(3);
      assertAllSee(simulation, 9, "a");
      assertEquals(before, simulation.deaths);
    }

    @Test
    void healsAPartitionInsideADomain() {
      GossipSimulation simulation = started(9, "a");
      simulation.cut = (from, to) -> from.compareTo("a-4") < 0 != to.compareTo("a-4") < 0;
      simulation.run(30);
      assertEquals(4, simulation.nodes.get("a-1").liveInstances().size());
      assertEquals(5, simulation.nodes.get("a-8").liveInstances().size());
      simulation.cut = (from, to) -> false;
      simulation.run(10);
      assertAllSee(simulation, 9, "a");
    }
  }

  @Nested
  class Receive {
    @Test
    void acceptsARestartUnderTheSameNameEvenWithAnEarlierClock() {
      GossipSimulation simulation = started(9, "a");
      simulation.nodes.get("a-2").leave();
      simulation.run(3);
      simulation.add("a", 2, 1_000L);
      simulation.run(5);
      assertAllSee(simulation, 9, "a");
    }

    @Test
    void takesALeavingInstanceOutAtOnceAndKeepsItOut() {
      GossipSimulation simulation = started(9, "a");
      simulation.nodes.get("a-2").leave();
      simulation.run(3);
      simulation.nodes.forEach(
          (name, node) -> assertEquals(name.equals("a-2"), node.liveInstances().contains("a-2")));
    }

    @Test
    void ignoresMadeUpProgressAndOldSightings() {
      GossipMembership node = new GossipSimulation(1, List.of("a")).add("a", 0, 5);
      MemberSighting seen = new MemberSighting("a-1", "10.0.0.2:7100", "a", 9, 70_000, false);
      node.receive(beat(seen, Map.of()), 1, HeartbeatContent.EMPTY);
      node.receive(beat(seen.withSequence(3), Map.of(12345, 7)), 2, HeartbeatContent.EMPTY);
      assertEquals(List.of("a-0", "a-1"), node.liveInstances());
      assertEquals(MemberState.LIVE, node.statuses().get(0).state());
    }

    private Heartbeat beat(MemberSighting sighting, Map<Integer, Integer> progress) {
      return new Heartbeat("a-1", List.of(sighting), progress, Map.of(), Map.of(), false);
    }
  }

  @Nested
  class LiveBridges {
    private final String[] domains = {"a", "b", "c"};

    private void assertBridgesKnown(GossipSimulation simulation) {
      simulation.nodes.forEach(
          (name, node) -> {
            for (String domain : domains) {
              GossipMembership local = simulation.nodes.get(domain + "-0");
              assertEquals(
                  local.liveBridges(domain), node.liveBridges(domain), name + " on " + domain);
            }
          });
    }

    @Test
    void areKnownToEveryInstanceOfEveryDomain() {
      GossipSimulation simulation = started(9, domains);
      simulation.run(20);
      assertBridgesKnown(simulation);
      assertAllSee(simulation, 9, "b");
      // Within this time, instances that were met through seeds and are no bridges are removed.
      simulation.run(40);
      simulation.deaths = 0;
      simulation.sentBytes.clear();
      simulation.run(120);
      assertEquals(0, simulation.deaths);
      assertBridgesKnown(simulation);
    }

    /**
     * Guards against instances of other domains that were only met through seeds being announced
     * over and over and then declared dead, as once happened. The size is that expected in two
     * years.
     */
    @Test
    void areAllThatIsToldOfOtherDomainsAtTheSizeOfTwoYears() {
      String[] all = "abcdefghijklm".split("");
      GossipSimulation simulation = started(32, all);
      simulation.run(55);
      simulation.deaths = 0;
      simulation.sentBytes.clear();
      simulation.run(60);
      assertEquals(0, simulation.deaths);
      long most = simulation.sentBytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
      System.out.printf("heartbeats of a bridge among 13 domains: %d B/s%n", most / 60);
      assertTrue(most / 60 < 6_000, "bytes/s " + most / 60);
    }

    @Test
    void areReplacedWhenBothDieAtOnce() {
      GossipSimulation simulation = started(5, domains);
      simulation.run(20);
      List<String> bridges = new ArrayList<>(simulation.nodes.get("a-0").liveBridges("b"));
      bridges.forEach(simulation.nodes::remove);
      simulation.run(40);
      List<String> now = simulation.nodes.get("a-0").liveBridges("b");
      assertEquals(2, now.size());
      bridges.forEach(gone -> assertFalse(now.contains(gone)));
    }

    @Test
    void findEachOtherAgainAfterALongPartition() {
      GossipSimulation simulation = started(3, domains);
      simulation.run(20);
      simulation.cut = (from, to) -> from.charAt(0) != to.charAt(0);
      simulation.run(60);
      assertEquals(List.of(), simulation.nodes.get("a-0").liveBridges("b"));
      simulation.cut = (from, to) -> false;
      simulation.run(20);
      assertBridgesKnown(simulation);
    }
  }
}
