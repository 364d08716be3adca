package org.sedgeroad.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.configuration.Model;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/**
 * Models that waiting items name and that the configuration lacks. Their items fail, unless the
 * model is created in time, because no endpoint can run them. Used by the runner's thread only.
 */
final class MissingModels {
  /** Time for which items wait for a model to be created, in nanoseconds. */
  private static final long CREATION_NANOS = 60_000_000_000L;

  /** Time after which a model that no held segment names is forgotten, in nanoseconds. */
  private static final long FORGET_NANOS = 10 * CREATION_NANOS;

  /** Time between two checks, in nanoseconds. */
  private static final long CHECK_NANOS = 1_000_000_000L;

  /**
   * A missing model.
   *
   * @param giveUpNanos monotonic time from which its items may fail, in nanoseconds
   * @param forgetNanos monotonic time from which it is forgotten, in nanoseconds
   */
  private record MissingModel(long giveUpNanos, long forgetNanos) {}

  private final RunnerState state;
  private final BackgroundCalls calls;
  private final Map<String, MissingModel> missing = new HashMap<>();
  private long nextCheckNanos;
  private boolean confirming;

  MissingModels(RunnerState state, BackgroundCalls calls) {
    this.state = state;
    this.calls = calls;
    this.nextCheckNanos = state.now();
  }

  /** Fails the waiting items of held segments whose model has been missing for too long. */
  void failItems(List<HeldSegment> segments) {
    long now = state.now();
    if (now - nextCheckNanos < 0) {
      return;
    }
    nextCheckNanos = now + CHECK_NANOS;
    segments.stream()
        .flatMap(segment -> segment.waitingAndDelayed().stream())
        .map(BatchItem::model)
        .distinct()
        .filter(model -> !exists(model))
        .forEach(model -> check(model, segments, now));
    missing
        .entrySet()
        .removeIf(each -> now - each.getValue().forgetNanos() >= 0 || exists(each.getKey()));
  }

  private boolean exists(String model) {
    return Model.find(state.dependencies().replica(), model).isPresent();
  }

  private void check(String model, List<HeldSegment> segments, long now) {
    MissingModel before = missing.get(model);
    long giveUpNanos = before == null ? now + CREATION_NANOS : before.giveUpNanos();
    missing.put(model, new MissingModel(giveUpNanos, now + FORGET_NANOS));
    if (now - giveUpNanos >= 0 && !confirming) {
      confirming = true;
      confirm(model, segments);
    }
  }

  /**
   * Fails the items of a model if the store does not have it either. This instance may not have
   * received it; a segment that is claimed later may belong to a job that was accepted later.
   */
  private void confirm(String model, List<HeldSegment> segments) {
    calls.call(
        () -> state.dependencies().writer().store().get(Kinds.MODELS, model),
        read -> {
          confirming = false;
          if (read instanceof StoreResult.Done<StoredObject> done) {
            state.dependencies().replica().apply(done.value());
          } else if (read instanceof StoreResult.Absent) {
            segments.stream().filter(state::holds).forEach(segment -> failItems(segment, model));
          }
        },
        failure -> {
          confirming = false;
          state.dependencies().log().log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
        });
  }

  private void failItems(HeldSegment segment, String model) {
    List<BatchItem> items = segment.removeWaiting(item -> item.model().equals(model));
    if (items.isEmpty()) {
      return;
    }
    String reason = "the model " + model + " does not exist";
    state
        .dependencies()
        .log()
        .log(
            LogEvent.ITEMS_GIVEN_UP,
            EventField.of("segment", segment.key().toName()),
            EventField.of("items", items.size()),
            EventField.of("cause", reason));
    for (BatchItem item : items) {
      segment.addPendingResult(ItemResult.ofError(item, ItemState.FAILED, reason), state.now());
    }
  }
}
