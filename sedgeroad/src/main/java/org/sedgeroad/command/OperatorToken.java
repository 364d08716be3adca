package org.sedgeroad.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Optional;

/** The operators' token. Its file is read at each check, so that a renewed token needs no start. */
public final class OperatorToken {
  private static final String SCHEME = "Bearer ";

  private final Optional<Path> file;

  private OperatorToken(Optional<Path> file) {
    this.file = file;
  }

  /** Returns the token in a file; without a file no token matches. */
  public static OperatorToken of(Optional<String> file) {
    return new OperatorToken(file.map(Path::of));
  }

  /** Returns whether a token is there to compare with. */
  public boolean isAvailable() {
    return read().isPresent();
  }

  /** Returns whether the value of an {@code Authorization} header, null if missing, matches. */
  public boolean matches(String authorization) {
    Optional<String> token = read();
    if (token.isEmpty() || authorization == null || !authorization.startsWith(SCHEME)) {
      return false;
    }
    // Compares in constant time, so that the duration tells nothing of the token.
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
