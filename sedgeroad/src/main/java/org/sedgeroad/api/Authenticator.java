package org.sedgeroad.api;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoredObject;

/** Finds the member of a caller by its bearer key. The store holds hashes of keys only. */
public final class Authenticator {
  private static final String SCHEME = "Bearer ";

  private final Map<String, String> memberByHash = new ConcurrentHashMap<>();

  /** Creates an authenticator that follows the members of a replica. */
  public Authenticator(ConfigurationReplica replica) {
    replica.list(Kinds.MEMBERS).forEach(this::updateKeys);
    replica.addListener(
        object -> {
          if (object.kind().equals(Kinds.MEMBERS)) {
            updateKeys(object);
          }
        });
  }

  /** Returns the hash under which a member's object lists a key. */
  public static String hash(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", impossible);
    }
  }

  Optional<String> findMember(HttpServerExchange exchange) {
    String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    if (header == null || !header.startsWith(SCHEME)) {
      return Optional.empty();
    }
    return Optional.ofNullable(memberByHash.get(hash(header.substring(SCHEME.length()).strip())));
  }

  private synchronized void updateKeys(StoredObject object) {
    memberByHash.values().removeIf(object.name()::equals);
    if (!object.isDeleted()) {
      object.spec().path("keys").forEach(key -> memberByHash.put(key.asText(), object.name()));
    }
  }
}
