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
final class RoutesUpdater implements KindWatcher.Listener {
  private final PlatformBinding platform;
  private final RouteTableHolder routes;
  private final EndpointsUpdater endpointsUpdater;
  private final EventLog log;

  RoutesUpdater(
      PlatformBinding platform,
      RouteTableHolder routes,
      EndpointsUpdater endpointsUpdater,
      EventLog log) {
    this.platform = platform;
    this.routes = routes;
    this.endpointsUpdater = endpointsUpdater;
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
              table
                  .workspaces()
                  .warnings()
                  .forEach(
                      warning ->
                          log.log(
                              LogEvent.OBJECT_INVALID,
                              EventField.of("kind", object.kind()),
                              EventField.of("name", object.name()),
                              EventField.of("cause", warning)));
              endpointsUpdater.applyRoutes();
            });
  }
}
