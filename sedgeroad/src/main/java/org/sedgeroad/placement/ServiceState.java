package org.sedgeroad.placement;

/** State of the endpoints of a service with regard to batch items that are to start there. */
public enum ServiceState {
  /** No endpoint accepts new work. */
  WITHOUT_ENDPOINTS,
  /** Each endpoint that accepts new work is suspect: it failed lately or has no registration. */
  SUSPECT,
  /** Endpoints accept new work, but none has a free slot. */
  FULL,
  /** An endpoint has a free slot. */
  FREE;

  /** Returns whether the service runs items, even if the next ones have to wait for a slot. */
  public boolean isServing() {
    return this == FULL || this == FREE;
  }
}
