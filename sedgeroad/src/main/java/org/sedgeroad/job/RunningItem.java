package org.sedgeroad.job;

import org.sedgeroad.engine.EngineCallHandle;
import org.sedgeroad.route.Placement;

/** An item that was sent to an endpoint. Used by the runner's thread only. */
final class RunningItem {
  private final HeldSegment segment;
  private final BatchItem item;
  private final Placement placement;
  private EngineCallHandle callHandle;
  private boolean preempted;
  private boolean connectionBroken;

  RunningItem(HeldSegment segment, BatchItem item, Placement placement) {
    this.segment = segment;
    this.item = item;
    this.placement = placement;
  }

  HeldSegment segment() {
    return segment;
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

  boolean isConnectionBroken() {
    return connectionBroken;
  }

  /** Records that the connection broke before the answer was complete. */
  void markConnectionBroken() {
    connectionBroken = true;
  }

  void setCallHandle(EngineCallHandle started) {
    callHandle = started;
  }

  /** Preempts the item: cancels its call at the endpoint, without counting an attempt. */
  void cancel() {
    preempted = true;
    if (callHandle != null) {
      callHandle.close();
    }
  }
}
