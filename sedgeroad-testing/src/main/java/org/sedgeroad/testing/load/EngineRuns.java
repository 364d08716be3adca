package org.sedgeroad.testing.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.EndpointProcess;

/**
 * The runs of all engines of a deployment, read from the engines' histories.
 *
 * @param runs runs in the order of arrival at each engine
 * @param readMicros wall-clock time of the reading, in microseconds since 1970
 */
public record EngineRuns(List<EngineRun> runs, long readMicros) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Copies the runs. */
  public EngineRuns {
    runs = List.copyOf(runs);
  }

  /** Reads the histories of all engines; leaves out engines that do not answer. */
  public static EngineRuns read(Deployment deployment) {
    List<EngineRun> all = new ArrayList<>();
    for (EndpointProcess engine : deployment.engines()) {
      String history = deployment.read(engine.address().resolve("/control/history"));
      if (!history.isEmpty()) {
        all.addAll(parse(engine.endpoint().name(), history));
      }
    }
    return new EngineRuns(all, LiveLoad.nowMicros());
  }

  /**
   * Parses the JSON of one engine's history and returns its runs in the order of arrival.
   *
   * @throws UncheckedIOException if the history is not valid JSON
   */
  public static List<EngineRun> parse(String engine, String history) {
    Map<Long, EngineRun> runs = new LinkedHashMap<>();
    Map<String, Long> openRuns = new LinkedHashMap<>();
    try {
      for (JsonNode event : MAPPER.readTree(history).path("events")) {
        apply(engine, event, runs, openRuns);
      }
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return new ArrayList<>(runs.values());
  }

  /** Returns the runs that satisfy a condition. */
  public Stream<EngineRun> stream(Predicate<EngineRun> condition) {
    return runs.stream().filter(condition);
  }

  /** Returns the number of batch items per second that finished between two times. */
  public double batchItemsPerSecond(long fromMicros, long toMicros) {
    return finishedPerSecond(EngineRun::isBatch, fromMicros, toMicros);
  }

  /**
   * Returns the number of runs per second that satisfy a condition and finished between two times.
   */
  public double finishedPerSecond(Predicate<EngineRun> condition, long fromMicros, long toMicros) {
    long count =
        stream(condition)
            .filter(run -> run.finished() && run.endMicros() >= fromMicros)
            .filter(run -> run.endMicros() < toMicros)
            .count();
    return count * 1e6 / (toMicros - fromMicros);
  }

  /** Returns the mean number of slots that runs that satisfy a condition held between two times. */
  public double meanSlots(Predicate<EngineRun> condition, long fromMicros, long toMicros) {
    long micros = stream(condition).mapToLong(run -> run.slotMicros(fromMicros, toMicros)).sum();
    return (double) micros / (toMicros - fromMicros);
  }

  private static void apply(
      String engine, JsonNode event, Map<Long, EngineRun> runs, Map<String, Long> openRuns) {
    long micros = event.path("time_micros").asLong();
    String id = event.path("request_id").asText();
    int tokens = event.path("tokens").asInt();
    switch (event.path("event").asText()) {
      case "accept" -> {
        long index = event.path("index").asLong();
        openRuns.put(id, index);
        runs.put(
            index,
            new EngineRun(
                engine,
                id,
                event.path("service_class").asText(),
                event.path("fingerprint").asText(),
                micros,
                -1,
                -1,
                false,
                0));
      }
      case "start" -> change(runs, openRuns.get(id), run -> run.started(micros));
      case "finish" -> change(runs, openRuns.remove(id), run -> run.ended(micros, true, tokens));
      case "cancel" -> change(runs, openRuns.remove(id), run -> run.ended(micros, false, tokens));
      case "crash" -> {
        openRuns.values().forEach(index -> change(runs, index, run -> run.ended(micros, false, 0)));
        openRuns.clear();
      }
      default -> {
        // First tokens and rejections do not change a run.
      }
    }
  }

  private static void change(
      Map<Long, EngineRun> runs, Long index, java.util.function.UnaryOperator<EngineRun> change) {
    if (index != null) {
      runs.computeIfPresent(index, (key, run) -> change.apply(run));
    }
  }
}
