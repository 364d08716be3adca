package org.sedgeroad.access;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** What a caller presents to identify its workspace. Immutable; holds no key in plain text. */
public final class Credential {
  /** No key, or nothing that can be a key. */
  public static final Credential NONE = new Credential("");

  private final String digest;

  private Credential(String digest) {
    this.digest = digest;
  }

  /**
   * Reads the values of the {@code Authorization} headers of a request.
   *
   * @param values values of all such headers, not null
   * @param scheme name of the authentication scheme before the key, compared without regard to case
   * @return the credential; {@link #NONE} unless there is exactly one value, of the form {@code
   *     SCHEME KEY}
   */
  public static Credential of(List<String> values, String scheme) {
    if (values.size() != 1) {
      return NONE;
    }
    String[] words = values.get(0).strip().split(" +");
    boolean wellFormed = words.length == 2 && words[0].equalsIgnoreCase(scheme);
    return wellFormed ? new Credential(KeyDigest.of(words[1])) : NONE;
  }

  /** Returns the digest of the key, empty without a key. */
  Optional<String> digest() {
    return digest.isEmpty() ? Optional.empty() : Optional.of(digest);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Credential credential && digest.equals(credential.digest);
  }

  @Override
  public int hashCode() {
    return Objects.hash(digest);
  }

  @Override
  public String toString() {
    return digest.isEmpty() ? "no key" : "a key";
  }
}
