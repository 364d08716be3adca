package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.StoredObject;

/** The addresses of the other instances as registered in the store. Used on the event loop. */
final class InstanceDirectory implements KindWatcher.Listener {
  static final String KIND = "instances";

  /**
   * Addresses of one instance.
   *
   * @param reports UDP address that receives load reports
   * @param exchange TCP address that serves the HTTP calls of other instances
   */
  record Addresses(InetSocketAddress reports, InetSocketAddress exchange) {}

  private final String ownName;
  private final EventLog log;
  private final Map<String, Addresses> instances = new HashMap<>();

  InstanceDirectory(String ownName, EventLog log) {
    this.ownName = ownName;
    this.log = log;
  }

  static ObjectNode encode(Addresses addresses) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("address", addresses.reports().getHostString())
        .put("reports_port", addresses.reports().getPort())
        .put("exchange_port", addresses.exchange().getPort());
  }

  Optional<Addresses> find(String instance) {
    return Optional.ofNullable(instances.get(instance));
  }

  /** Returns the number of other instances that are registered. */
  int count() {
    return instances.size();
  }

  Collection<InetSocketAddress> reportAddresses() {
    return instances.values().stream().map(Addresses::reports).toList();
  }

  @Override
  public void listed(List<StoredObject> objects) {
    instances.clear();
    objects.forEach(this::changed);
  }

  @Override
  public void changed(StoredObject object) {
    if (object.name().equals(ownName)) {
      return;
    }
    if (object.isDeleted()) {
      instances.remove(object.name());
      return;
    }
    String host = object.spec().path("address").asText();
    int reportsPort = object.spec().path("reports_port").asInt();
    int exchangePort = object.spec().path("exchange_port").asInt();
    if (host.isEmpty() || reportsPort <= 0 || exchangePort <= 0) {
      log.log(
          LogEvent.OBJECT_INVALID,
          EventField.of("kind", KIND),
          EventField.of("name", object.name()));
      return;
    }
    instances.put(
        object.name(),
        new Addresses(
            new InetSocketAddress(host, reportsPort), new InetSocketAddress(host, exchangePort)));
  }
}
