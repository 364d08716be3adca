package org.sedgeroad.live;

import java.net.URI;
import org.sedgeroad.engine.EngineCallHandle;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.route.Placement;

/** Attempt to run a live request at an endpoint. Used by the request's thread only. */
final class Attempt implements AutoCloseable {
  private final int number;
  private final AttemptTimes times;
  private final LiveServiceDependencies dependencies;
  private final String runId;
  private final boolean resumed;

  /**
   * Placement that the detector of crashing requests has recorded. {@link #placement} may be a
   * changed copy of it.
   */
  private final Placement initialPlacement;

  private Placement placement;
  private EngineCallHandle callHandle;
  private HttpHead head;
  private int receivedEvents;
  private boolean closed;
  private boolean endpointCrashed;

  private Attempt(
      int number,
      Placement placement,
      LiveServiceDependencies dependencies,
      String runId,
      int received,
      boolean resumed) {
    this.number = number;
    this.initialPlacement = placement;
    this.placement = placement;
    this.dependencies = dependencies;
    this.times = new AttemptTimes(dependencies);
    this.runId = runId;
    this.receivedEvents = received;
    this.resumed = resumed;
  }

  /** Returns an attempt that runs the request from the beginning. */
  static Attempt of(
      int number, Placement placement, LiveServiceDependencies dependencies, String runId) {
    return new Attempt(number, placement, dependencies, runId, 0, false);
  }

  /** Returns an attempt that continues the run of this attempt after its connection broke. */
  Attempt toResumed(int newNumber, Placement newPlacement) {
    return new Attempt(newNumber, newPlacement, dependencies, runId, receivedEvents, true);
  }

  int number() {
    return number;
  }

  Placement placement() {
    return placement;
  }

  URI address() {
    return placement.address();
  }

  /** Returns the id of the run at the endpoint, which stays the same when the run is resumed. */
  String runId() {
    return runId;
  }

  boolean isResumed() {
    return resumed;
  }

  /** Returns the number of events of the run received so far, over all its connections. */
  int receivedEvents() {
    return receivedEvents;
  }

  /** Returns whether the endpoint was found to have crashed. */
  boolean hasEndpointCrashed() {
    return endpointCrashed;
  }

  void markEndpointCrashed() {
    endpointCrashed = true;
  }

  HttpHead head() {
    return head;
  }

  void setCallHandle(EngineCallHandle newHandle) {
    callHandle = newHandle;
  }

  void setHead(HttpHead value) {
    head = value;
  }

  void recordEvent() {
    receivedEvents++;
    if (!resumed) {
      placement = times.recordEvent(placement, receivedEvents);
    }
  }

  /** Records that the first event has not been received in the expected time. */
  void recordLateFirstEvent() {
    times.recordLateFirstEvent(placement);
  }

  /** Cancels the request at the endpoint if it is still running, and ends the placement. */
  @Override
  public void close() {
    close(false);
  }

  /** Closes the attempt and ends the placement after the connection broke. */
  void closeBroken() {
    close(true);
  }

  private void close(boolean connectionBroke) {
    if (closed) {
      return;
    }
    closed = true;
    try {
      if (callHandle != null) {
        callHandle.close();
      }
    } finally {
      dependencies
          .crashReportExchange()
          .detector()
          .end(initialPlacement, connectionBroke, dependencies.clock().nanos());
      dependencies.endpoints().end(placement);
      dependencies.placements().ended(placement);
    }
  }
}
