package org.sedgeroad.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * Token that authorizes operators. Its file is read at each check, so that a new token takes effect
 * without a restart.
 */
public final class OperatorToken {
  private static final String SCHEME = "Bearer ";

  private final Optional<Path> file;

  private OperatorToken(Optional<Path> file) {
    this.file = file;
  }

  /**
   * Returns a token that is read from a file.
   *
   * @param file path of the file, empty for a token that nothing matches
   */
  public static OperatorToken of(Optional<String> file) {
    return new OperatorToken(file.map(Path::of));
  }

  /** Returns whether the file can be read and holds a token. */
  public boolean isAvailable() {
    return read().isPresent();
  }

  /**
   * Returns whether a request carries the token.
   *
   * @param authorization value of the {@code Authorization} header, null if it is missing
   */
  public boolean matches(String authorization) {
    Optional<String> token = read();
    if (token.isEmpty() || authorization == null || !authorization.startsWith(SCHEME)) {
      return false;
    }
    // Compares in constant time, so that the duration reveals nothing about the token.
    return MessageDigest.isEqual(
        token.get().getBytes(StandardCharsets.UTF_8),
        authorization.substring(SCHEME.length()).strip().getBytes(StandardCharsets.UTF_8));
  }

  private Optional<String> read() {
    if (file.isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Files.readString(file.get()).strip()).filter(token -> !token.isEmpty());
    } catch (IOException unreadable) {
      return Optional.empty();
    }
  }
}
