package org.sedgeroad.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.sedgeroad.VirtualClock;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.FakeStore;
import org.sedgeroad.store.FakeStore.Fault;
import org.sedgeroad.store.StoreWriter;

/**
 * Several runners that share a store and run step by step in virtual time. The seed determines all
 * random choices.
 */
final class SimulatedRunners {
  static final String JOB_ID = "batch_1";

  final VirtualClock clock = new VirtualClock();
  final FakeStore store = new FakeStore();
  final List<SimulatedInstance> instances = new ArrayList<>();
  final Random random;
  final JobService service;
  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<String, Boolean> idempotentByPrompt = new HashMap<>();
  private boolean randomFaults;
  private boolean outage;
  private int nestedActions;
  private int instanceCount;

  SimulatedRunners(long seed) {
    random = new Random(seed);
    service = JobService.of(StoreWriter.of(store, "client", () -> clock.advanceMillis(20)));
    ObjectNode model = JsonNodeFactory.instance.objectNode();
    model.put("service", "tallador-lm");
    store.create(Kinds.MODELS, "lenga-7b", model);
  }

  /** Adds an instance and renews its lease for the first time. */
  SimulatedInstance add(String name) {
    SimulatedInstance added = new SimulatedInstance(name, ++instanceCount, store, clock);
    instances.add(added);
    added.renewLease();
    return added;
  }

  /**
   * Creates a job. Each string is a segment, each character an item: "w" for an idempotent item,
   * "n" for a non-idempotent one, "x" for one that always fails.
   */
  void createJob(String... segments) {
    int items = 0;
    for (int segment = 0; segment < segments.length; segment++) {
      List<String> lines = new ArrayList<>();
      for (char code : segments[segment].toCharArray()) {
        String prompt = (code == 'x' ? "poison" : "item") + items++;
        idempotentByPrompt.put(prompt, code != 'n');
        lines.add(
            "{\"custom_id\":\"%s\",\"url\":\"/v1/completions\",\"idempotent\":%b,"
                    .formatted(prompt, code != 'n')
                + "\"body\":{\"model\":\"lenga-7b\",\"prompt\":\"%s\"}}".formatted(prompt));
      }
      ObjectNode spec = JsonNodeFactory.instance.objectNode();
      spec.put("lines", CompressedLines.compress(lines));
      store.create(Kinds.INPUTS, "file-1." + segment, spec);
    }
    Job job =
        new Job(
            JOB_ID,
            "taller-lenga",
            "file-1",
            "/v1/completions",
            "24h",
            Instant.EPOCH,
            Instant.EPOCH,
            segments.length,
            items,
            JobState.ACCEPTED,
            null,
            "0",
            ItemCounts.ZERO,
            JsonNodeFactory.instance.objectNode());
    store.create(Kinds.JOBS, JOB_ID, job.toSpec());
  }

  /** Takes random steps with faults of the store, the endpoints and the instances. */
  void runWithRandomFaults(int steps) {
    randomFaults = true;
    store.faults = this::chooseFault;
    for (int step = 0; step < steps; step++) {
      if (random.nextInt(400) == 0) {
        outage = !outage;
      }
      SimulatedInstance instance = instances.get(random.nextInt(instances.size()));
      if (random.nextInt(500) == 0) {
        instance.pausedUntilNanos =
            clock.nanos() + random.nextInt(2 * (int) SimulatedInstance.LEASE_MILLIS) * 1_000_000L;
      }
      if (instance.alive && random.nextInt(1_500) == 0) {
        instance.alive = false;
        add("restarted" + random.nextInt(2));
      }
      takeRandomAction(instance);
    }
    randomFaults = false;
    outage = false;
    store.faults = (operation, kind) -> Fault.NONE;
  }

  /**
   * Runs rounds without random faults until the job is counted and no call is in progress; fails
   * after 10,000 rounds.
   */
  void runToEnd() {
    for (int round = 0; round < 10_000 && !(job().isCounted() && isIdle()); round++) {
      runRound(20);
    }
    assertTrue(job().isCounted(), () -> "the job has not ended: " + job());
  }

  /** Runs rounds without random faults for the given virtual time. */
  void runFor(long millis) {
    long end = clock.nanos() + millis * 1_000_000L;
    while (clock.nanos() < end) {
      runRound(20);
    }
  }

  /** Runs rounds until a condition holds; fails after a minute of virtual time. */
  void runUntil(BooleanSupplier condition) {
    long end = clock.deadlineAfterMillis(60_000);
    while (!condition.getAsBoolean()) {
      assertTrue(!clock.hasPassed(end), "the condition was not met in time");
      runRound(20);
    }
  }

  private void runRound(long millis) {
    clock.advanceMillis(millis);
    for (SimulatedInstance instance : List.copyOf(instances)) {
      if (instance.isRunning()) {
        if (clock.nanos() / 1_000_000 % 1_500 < millis) {
          instance.renewLease();
        }
        instance.deliverChanges();
        instance.runner.step();
        while (!instance.pool.isEmpty()) {
          instance.runNextPoolTask();
        }
        instance.engine.endRandomCall(random, 0);
      }
    }
  }

  private boolean isIdle() {
    return instances.stream()
        .allMatch(
            each -> !each.isRunning() || (each.pool.isEmpty() && each.engine.openCallCount() == 0));
  }

  private void takeRandomAction(SimulatedInstance instance) {
    clock.advanceMillis(random.nextInt(30));
    if (!instance.isRunning()) {
      return;
    }
    switch (random.nextInt(10)) {
      case 0 -> instance.renewLease();
      case 1 -> instance.deliverChanges();
      case 2, 3 -> instance.engine.endRandomCall(random, 10);
      case 4, 5, 6 -> instance.runNextPoolTask();
      default -> instance.runner.step();
    }
  }

  private Fault chooseFault(String operation, String kind) {
    // Other instances may act between two store calls of one operation.
    if (randomFaults && nestedActions < 2 && random.nextInt(6) == 0) {
      nestedActions++;
      SimulatedInstance other = instances.get(random.nextInt(instances.size()));
      takeRandomAction(other);
      if (random.nextInt(40) == 0) {
        clock.advanceMillis(SimulatedInstance.LEASE_MILLIS + 100);
      }
      nestedActions--;
    }
    if (outage) {
      return random.nextInt(4) == 0 ? Fault.LOST_REQUEST : Fault.OUTAGE;
    }
    return switch (random.nextInt(40)) {
      case 0 -> Fault.LOST_REQUEST;
      case 1, 2 -> Fault.LOST_ANSWER;
      case 3 -> Fault.OUTAGE;
      case 4 -> Fault.THROTTLED;
      default -> Fault.NONE;
    };
  }

  Job job() {
    JsonNode spec =
        store.objects(Kinds.JOBS).stream()
            .filter(object -> object.name().equals(JOB_ID))
            .findAny()
            .orElseThrow()
            .spec();
    return Job.fromSpec(JOB_ID, spec);
  }

  int sendCount(String prompt) {
    return instances.stream().mapToInt(each -> each.engine.sendCount(prompt)).sum();
  }

  /**
   * Checks that each item ended once with exactly one result line, or none if it was cancelled,
   * that the job's counts are right, and that no non-idempotent item was sent twice.
   */
  void assertEachItemEndedOnce() throws Exception {
    Map<String, JsonNode> results = new HashMap<>();
    store.objects(Kinds.RESULTS).forEach(object -> results.put(object.name(), object.spec()));
    ItemCounts counts = ItemCounts.ZERO;
    for (var object : store.objects(Kinds.SEGMENTS)) {
      int index = Integer.parseInt(object.name().substring(JOB_ID.length() + 1));
      Segment segment = Segment.fromSpec(new SegmentKey(JOB_ID, index), object.spec());
      assertTrue(segment.isFinished(), () -> "unfinished: " + segment);
      counts = counts.plus(segment.counts());
      Map<Integer, String> states = new HashMap<>();
      for (String chunk : segment.chunks()) {
        for (String text : CompressedLines.expand(results.get(chunk).path("lines").asText())) {
          JsonNode line = mapper.readTree(text);
          String id = line.path("id").asText();
          int item = Integer.parseInt(id.substring(id.lastIndexOf('.') + 1));
          String earlier = states.put(item, line.path("state").asText());
          assertEquals(null, earlier, () -> "two lines for " + id);
        }
      }
      for (int item = 0; item < segment.states().length(); item++) {
        ItemState state = segment.state(item);
        String expected = state == ItemState.CANCELLED ? null : state.name();
        assertEquals(expected, states.get(item), object.name() + " item " + item);
      }
    }
    Job job = job();
    ItemCounts total = job.counts();
    assertEquals(
        job.itemCount(), total.done() + total.failed() + total.cancelled() + total.unknown());
    assertEquals(
        List.of(counts.done(), counts.failed(), counts.unknown()),
        List.of(total.done(), total.failed(), total.unknown()));
    idempotentByPrompt.forEach(
        (prompt, idempotent) ->
            assertTrue(idempotent || sendCount(prompt) <= 1, () -> prompt + " was sent twice"));
  }
}
