package org.sedgeroad.entry;

import java.util.List;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.gateway.RouteTable;
import org.sedgeroad.gateway.RouteTableHolder;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.StoredObject;

/** Applies new versions of the routes. Used on the event loop. */
final class RoutesFollower implements KindWatcher.Listener {
  private final PlatformBinding platform;
  private final RouteTableHolder routes;
  private final EndpointsFollower endpoints;
  private final EventLog log;

  RoutesFollower(
      PlatformBinding platform,
      RouteTableHolder routes,
      EndpointsFollower endpoints,
      EventLog log) {
    this.platform = platform;
    this.routes = routes;
    this.endpoints = endpoints;
    this.log = log;
  }

  @Override
  public void listed(List<StoredObject> objects) {
    objects.forEach(this::changed);
  }

  @Override
  public void changed(StoredObject object) {
    if (object.isDeleted()) {
      return;
    }
    RouteTable before = routes.current();
    platform
        .routes(object)
        .filter(routes::apply)
        .ifPresent(
            table -> {
              log.log(
                  LogEvent.ROUTES_APPLIED,
                  EventField.of("version", table.version()),
                  EventField.of("before", before.version()),
                  EventField.of("store_version", object.version()));
              endpoints.applyRoutes();
            });
  }
}
