package org.sedgeroad.job;

import org.sedgeroad.engine.EngineStream;
import org.sedgeroad.route.Placement;

/** An item in flight at an endpoint. Used by the runner's thread only. */
final class RunningItem {
  private final HeldSegment held;
  private final BatchItem item;
  private final Placement placement;
  private EngineStream stream;
  private boolean preempted;
  private boolean broken;

  RunningItem(HeldSegment held, BatchItem item, Placement placement) {
    this.held = held;
    this.item = item;
    this.placement = placement;
  }

  HeldSegment held() {
    return held;
  }

  BatchItem item() {
    return item;
  }

  Placement placement() {
    return placement;
  }

  boolean isPreempted() {
    return preempted;
  }

  boolean isBroken() {
    return broken;
  }

  /** Notes that the connection broke before the answer was whole. */
  void connectionBroke() {
    broken = true;
  }

  void started(EngineStream running) {
    stream = running;
  }

  /** Cancels the item at the endpoint without counting an attempt. */
  void cancel() {
    preempted = true;
    if (stream != null) {
      stream.close();
    }
  }
}
