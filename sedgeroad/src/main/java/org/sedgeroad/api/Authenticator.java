package org.sedgeroad.api;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.access.KeyDigest;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoredObject;

/**
 * Finds the member that a caller belongs to, by the API key in the {@code Authorization} header. A
 * member is an organisation that shares the fleet; the store holds the hashes of its API keys, not
 * the keys. Thread-safe.
 */
public final class Authenticator {
  private static final String SCHEME = "Bearer ";

  private final Map<String, String> memberByHash = new ConcurrentHashMap<>();

  /** Creates an authenticator that follows changes of the members in a replica. */
  public Authenticator(ConfigurationReplica replica) {
    replica.list(Kinds.MEMBERS).forEach(this::updateKeys);
    replica.addListener(
        object -> {
          if (object.kind().equals(Kinds.MEMBERS)) {
            updateKeys(object);
          }
        });
  }

  /**
   * Returns the hash of an API key as it is stored in the object of a member.
   *
   * @param key API key in plain text
   * @return SHA-256 digest of the UTF-8 bytes of the key, in lower-case hexadecimal
   */
  public static String hashKey(String key) {
    return KeyDigest.of(key);
  }

  /** Returns the name of the caller's member, empty if the key is missing or unknown. */
  Optional<String> findMember(HttpServerExchange exchange) {
    String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    if (header == null || !header.startsWith(SCHEME)) {
      return Optional.empty();
    }
    return findMember(hashKey(header.substring(SCHEME.length()).strip()));
  }

  /** Returns the name of the member that has a key with the given hash, empty if none has. */
  Optional<String> findMember(String keyHash) {
    return Optional.ofNullable(memberByHash.get(keyHash));
  }

  /**
   * Replaces the keys of one member by those of its current object. A key that stays is valid all
   * the time, also for requests that arrive meanwhile.
   */
  private synchronized void updateKeys(StoredObject object) {
    Set<String> current = new HashSet<>();
    if (!object.isDeleted()) {
      object.spec().path("keys").forEach(key -> current.add(key.asText()));
    }
    current.forEach(key -> memberByHash.put(key, object.name()));
    memberByHash
        .entrySet()
        .removeIf(
            entry -> entry.getValue().equals(object.name()) && !current.contains(entry.getKey()));
  }
}
