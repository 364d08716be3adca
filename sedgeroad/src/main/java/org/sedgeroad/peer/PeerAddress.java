package org.sedgeroad.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Converts peer addresses between text, {@code IP:PORT}, and socket addresses. Never resolves host
 * names.
 */
final class PeerAddress {
  private PeerAddress() {}

  static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0 || !text.substring(0, colon).matches("[0-9a-fA-F.:\\[\\]]+")) {
      return Optional.empty();
    }
    try {
      InetAddress address = InetAddress.getByName(text.substring(0, colon));
      return Optional.of(
          new InetSocketAddress(address, Integer.parseInt(text.substring(colon + 1))));
    } catch (UnknownHostException | IllegalArgumentException invalid) {
      return Optional.empty();
    }
  }

  static String toText(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
  }
}
