package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sedgeroad.access.Workspace;
import org.sedgeroad.access.WorkspaceDirectory;
import org.sedgeroad.presence.WorkspaceLoad;

/** Guards against a workspace whose requests come before those of others that use fewer slots. */
class FairOrderTest {
  private static final WorkspaceDirectory DIRECTORY = directory();

  private static WorkspaceDirectory directory() {
    WorkspaceDirectory.Builder builder = new WorkspaceDirectory.Builder();
    builder.add(new Workspace("large", OptionalInt.empty(), 30, 0));
    builder.add(new Workspace("small", OptionalInt.empty(), 10, 0));
    builder.add(new Workspace("patient", OptionalInt.of(5), 10, 0));
    return builder.build();
  }

  private static LiveDemand demand(String workspace, int priority, long objective) {
    return LiveDemand.of(
        "engine", workspace, priority, objective, 10_000_000_000L, Set.of(), endpoint -> {});
  }

  private static SlotUse use(Map<String, WorkspaceLoad> others, Map<String, Integer> own) {
    int live =
        others.values().stream().mapToInt(WorkspaceLoad::running).sum()
            + own.values().stream().mapToInt(Integer::intValue).sum();
    return SlotUse.of(DIRECTORY, others, own, Map.of(), live);
  }

  private static List<String> order(SlotUse use, LiveDemand... ordered) {
    FairOrder order = new FairOrder(List.of(ordered), LiveDemand::workspace, use::relativeUse);
    List<String> names = new ArrayList<>();
    for (Optional<LiveDemand> next = order.next(); next.isPresent(); next = order.next()) {
      names.add(next.get().workspace() + next.get().objectiveNanos());
      use.assigned(next.get().workspace());
    }
    return names;
  }

  @Test
  void countsSlotsOfAllInstancesByWeightAndThoseThatAreAssigned() {
    // For its weight, the large workspace uses 5/30 and 6/30, the small one 1/10 and 2/10.
    SlotUse use = use(Map.of("large", new WorkspaceLoad(0, 2, 0)), Map.of("large", 3, "small", 1));
    assertEquals(
        List.of("small8", "large1", "large2", "small9"),
        order(
            use,
            demand("large", 0, 1),
            demand("large", 0, 2),
            demand("small", 0, 8),
            demand("small", 0, 9)));
  }

  @Test
  void keepsPriorities() {
    SlotUse use = use(Map.of(), Map.of("large", 100));
    assertEquals(
        List.of("large1", "small2"), order(use, demand("large", 0, 1), demand("small", 1, 2)));
  }

  @Test
  void treatsRequestsWithoutAWorkspaceAsOneGroup() {
    SlotUse use = SlotUse.of(DIRECTORY, Map.of(), Map.of("large", 1), Map.of(), 21);
    assertEquals(20, use.running(""));
    assertEquals(List.of("large2", "1"), order(use, demand("", 0, 1), demand("large", 0, 2)));
  }

  @Test
  void leavesWorkspacesOfALowerPriorityOutOfTheFairShare() {
    SlotUse use = use(Map.of("patient", new WorkspaceLoad(0, 60, 9)), Map.of("large", 30));
    assertEquals(30, use.share("large", 0).fair(), 1e-9);
    assertEquals(0, use.waitingBefore("large", 0));
    assertEquals(67.5, use.share("large", 5).fair(), 1e-9);
  }

  @Test
  void findsNoExcessInTheVariationOfASmallShare() {
    assertFalse(new FairShare("small", 2, 3, 0.3).isExceeded());
    assertTrue(new FairShare("small", 60, 0, 30).isExceeded());
    assertFalse(new FairShare("small", 60, 0, 30).isFarExceeded());
    assertTrue(new FairShare("small", 60, 1, 30).isFarExceeded());
  }
}
