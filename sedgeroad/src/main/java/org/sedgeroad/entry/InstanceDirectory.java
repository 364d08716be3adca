package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URI;
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

  private static final int MAXIMUM_PORT = 65_535;

  /**
   * Addresses of one instance.
   *
   * @param reports UDP address that receives load reports
   * @param exchange TCP address that serves the HTTP calls of other instances
   * @param domain failure domain of the instance, empty if it does not state one
   */
  record Addresses(InetSocketAddress reports, InetSocketAddress exchange, String domain) {}

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
        .put("exchange_port", addresses.exchange().getPort())
        .put("domain", addresses.domain());
  }

  Optional<Addresses> find(String instance) {
    return Optional.ofNullable(instances.get(instance));
  }

  /**
   * Returns the address of a resource that an instance serves to other instances, empty if the
   * instance is not registered.
   *
   * @param instance name of the instance
   * @param target path and query
   */
  Optional<URI> exchangeUri(String instance, String target) {
    return find(instance)
        .map(Addresses::exchange)
        .map(
            address ->
                URI.create("http://" + address.getHostString() + ":" + address.getPort() + target));
  }

  /** Returns the number of other instances that are registered. */
  int count() {
    return instances.size();
  }

  /** Returns the addresses for load messages of some instances; unknown ones are left out. */
  List<InetSocketAddress> reportAddresses(Collection<String> names) {
    return names.stream().flatMap(name -> find(name).stream()).map(Addresses::reports).toList();
  }

  /** Returns the failure domains of the other registered instances by name. */
  Map<String, String> domainsByInstance() {
    Map<String, String> domains = new HashMap<>();
    instances.forEach((name, addresses) -> domains.put(name, addresses.domain()));
    return domains;
  }

  private static boolean isPort(int number) {
    return number > 0 && number <= MAXIMUM_PORT;
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
    if (host.isEmpty() || !isPort(reportsPort) || !isPort(exchangePort)) {
      log.log(
          LogEvent.OBJECT_INVALID,
          EventField.of("kind", KIND),
          EventField.of("name", object.name()));
      return;
    }
    instances.put(
        object.name(),
        new Addresses(
            new InetSocketAddress(host, reportsPort),
            new InetSocketAddress(host, exchangePort),
            object.spec().path("domain").asText()));
  }
}
