package org.sedgeroad.access;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the digests by which keys of callers are compared, so that no key is kept in memory. */
public final class KeyDigest {
  private KeyDigest() {}

  /**
   * Returns the digest of a key.
   *
   * @param key key in plain text, not null
   * @return SHA-256 digest of the UTF-8 bytes of the key, in lower-case hexadecimal
   */
  public static String of(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", impossible);
    }
  }
}
