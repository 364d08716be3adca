package org.sedgeroad.testing.experiment;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.testing.proxy.Direction;
import org.sedgeroad.testing.proxy.FaultProxy;

/** Fault proxies through which the failure domains reach the store, one for each domain. */
final class StoreLinks implements AutoCloseable {
  private final Map<String, FaultProxy> proxies = new ConcurrentHashMap<>();

  /** Returns the address of a failure domain's proxy, which is started at the first call. */
  URI route(String domain, URI store) {
    return proxies.computeIfAbsent(domain, key -> FaultProxy.start(store)).address();
  }

  /** Returns the number of failure domains that have a proxy. */
  int size() {
    return proxies.size();
  }

  /** Returns the proxy of a failure domain, null if there is none. */
  FaultProxy of(String domain) {
    return proxies.get(domain);
  }

  /** Returns the bytes that a failure domain has exchanged with the store, both ways. */
  long bytes(String domain) {
    FaultProxy proxy = proxies.get(domain);
    return proxy.passedBytes(Direction.REQUEST) + proxy.passedBytes(Direction.ANSWER);
  }

  @Override
  public void close() {
    proxies.values().forEach(FaultProxy::close);
  }
}
