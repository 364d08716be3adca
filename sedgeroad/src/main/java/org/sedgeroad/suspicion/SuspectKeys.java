package org.sedgeroad.suspicion;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.gateway.ClientRequest;

/** The properties of a request that may make it crash endpoints. */
final class SuspectKeys {
  private SuspectKeys() {}

  /**
   * Returns a key for each part of the prompt that the request may share with others, and one for
   * the request as a whole.
   */
  static List<String> of(ClientRequest request) {
    List<String> keys = new ArrayList<>();
    List<String> parts = request.promptParts();
    for (int index = 0; index < parts.size() - 1; index++) {
      keys.add("part-" + parts.get(index));
    }
    HashStream64 hash = Hashing.komihash5_0().hashStream();
    hash.putString(request.headers().getOrDefault("Host", ""));
    hash.putString(request.method()).putString(request.target()).putByteArray(request.body());
    keys.add("request-" + Long.toHexString(hash.getAsLong()));
    return keys;
  }
}
