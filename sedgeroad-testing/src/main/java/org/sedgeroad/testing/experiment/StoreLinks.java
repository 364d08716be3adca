package org.sedgeroad.testing.experiment;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.testing.proxy.Direction;
import org.sedgeroad.testing.proxy.FaultProxy;

/** One fault proxy in front of the store for each failure domain. */
final class StoreLinks implements AutoCloseable {
  private final Map<String, FaultProxy> proxies = new ConcurrentHashMap<>();

  /** Returns the address at which a failure domain reaches the store. */
  URI route(String domain, URI store) {
    return proxies.computeIfAbsent(domain, key -> FaultProxy.start(store)).address();
  }

  /** Returns the number of failure domains. */
  int size() {
    return proxies.size();
  }

  /** Returns the proxy of a failure domain. */
  FaultProxy of(String domain) {
    return proxies.get(domain);
  }

  /** Returns the bytes that a failure domain has exchanged with the store. */
  long bytes(String domain) {
    FaultProxy proxy = proxies.get(domain);
    return proxy.passedBytes(Direction.REQUEST) + proxy.passedBytes(Direction.ANSWER);
  }

  @Override
  public void close() {
    proxies.values().forEach(FaultProxy::close);
  }
}
