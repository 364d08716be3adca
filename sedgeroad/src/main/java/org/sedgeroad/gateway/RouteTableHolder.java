package org.sedgeroad.gateway;

import java.util.concurrent.atomic.AtomicReference;

/** Holds the newest configuration of routes that this process has received. Thread-safe. */
public final class RouteTableHolder {
  private final AtomicReference<RouteTable> current = new AtomicReference<>(RouteTable.EMPTY);

  /** Returns the newest table, {@link RouteTable#EMPTY} before the first one is applied. */
  public RouteTable current() {
    return current.get();
  }

  /** Returns whether a configuration is known. */
  public boolean isKnown() {
    return current.get().version() > 0;
  }

  /** Makes a table the current one if its version is newer, and returns whether it was. */
  public boolean apply(RouteTable table) {
    RouteTable before = current.getAndUpdate(old -> table.version() > old.version() ? table : old);
    return table.version() > before.version();
  }
}
