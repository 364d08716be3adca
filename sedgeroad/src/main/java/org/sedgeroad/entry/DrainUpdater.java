package org.sedgeroad.entry;

import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.store.StoredObject;

/** Applies the drains that operators set on endpoints and on this instance. Thread-safe. */
final class DrainUpdater {
  private static final String ENDPOINT_PREFIX = Kinds.drainName("endpoint", "");

  private final EndpointTable endpoints;
  private final String ownName;
  private volatile boolean drained;

  DrainUpdater(String instance, ConfigurationReplica replica, EndpointTable endpoints) {
    this.endpoints = endpoints;
    this.ownName = Kinds.drainName("instance", instance);
    replica.addListener(
        object -> {
          if (object.kind().equals(Kinds.DRAINS)) {
            apply(object);
          }
        });
  }

  /** Returns whether an operator has drained this instance. */
  boolean isDrained() {
    return drained;
  }

  private void apply(StoredObject object) {
    if (object.name().equals(ownName)) {
      drained = !object.isDeleted();
    } else if (object.name().startsWith(ENDPOINT_PREFIX)) {
      endpoints.setDrained(object.name().substring(ENDPOINT_PREFIX.length()), !object.isDeleted());
    }
  }
}
