package org.sedgeroad.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Finds the address of an instance by its name. */
@FunctionalInterface
public interface PeerDirectory {

  /** Returns the peer address of an instance, empty if the instance is unknown. */
  Optional<InetSocketAddress> find(String instance);
}
