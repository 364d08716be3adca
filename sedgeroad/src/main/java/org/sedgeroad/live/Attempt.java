package org.sedgeroad.live;

import java.net.URI;
import org.sedgeroad.engine.EngineStream;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.Placement;

/** One sending of a live request to an endpoint. Used by the request's thread only. */
final class Attempt implements AutoCloseable {
  private final int number;
  private final Placement placement;
  private final EndpointTable endpoints;
  private final PlacementListener listener;
  private final String runId;
  private final boolean resumed;
  private EngineStream stream;
  private HttpHead head;
  private int received;
  private boolean closed;

  private Attempt(
      int number,
      Placement placement,
      EndpointTable endpoints,
      PlacementListener listener,
      String runId,
      int received,
      boolean resumed) {
    this.number = number;
    this.placement = placement;
    this.endpoints = endpoints;
    this.listener = listener;
    this.runId = runId;
    this.received = received;
    this.resumed = resumed;
  }

  /** Returns an attempt that runs the request from its start. */
  static Attempt of(int number, Placement placement, LiveServiceParts parts, String runId) {
    return new Attempt(number, placement, parts.endpoints(), parts.placements(), runId, 0, false);
  }

  /** Returns an attempt that continues the run of a broken one. */
  Attempt toResumed(int newNumber, Placement newPlacement) {
    return new Attempt(newNumber, newPlacement, endpoints, listener, runId, received, true);
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

  /** Returns the name of the run at the endpoint. */
  String runId() {
    return runId;
  }

  boolean isResumed() {
    return resumed;
  }

  /** Returns the events of the run received so far, over all its connections. */
  int received() {
    return received;
  }

  HttpHead head() {
    return head;
  }

  void started(EngineStream running) {
    stream = running;
  }

  void headReceived(HttpHead value) {
    head = value;
  }

  void eventReceived() {
    received++;
  }

  /** Cancels the sending at the endpoint if it has not ended, and ends the placement. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    try {
      if (stream != null) {
        stream.close();
      }
    } finally {
      endpoints.end(placement);
      listener.ended(placement);
    }
  }
}
