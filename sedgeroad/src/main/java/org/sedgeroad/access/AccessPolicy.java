package org.sedgeroad.access;

import java.util.Optional;

/**
 * Decides who may send requests.
 *
 * <p>A key may have been revoked or added since the configuration in force was read. If that can be
 * the case for longer than allowed, a request with a key is neither served nor rejected for good.
 */
public final class AccessPolicy {
  private AccessPolicy() {}

  /**
   * Decides on a request.
   *
   * @param directory workspaces of the configuration in force, not null
   * @param isPublic whether the route serves requests without a key
   * @param credential what the request presents, not null
   * @param freshness age of the configuration, not null
   */
  public static AccessDecision decide(
      WorkspaceDirectory directory, boolean isPublic, Credential credential, Freshness freshness) {
    if (!directory.isRequired()) {
      return new AccessDecision.Allowed(Optional.empty());
    }
    Optional<Workspace> workspace = directory.find(credential);
    if (isPublic) {
      return new AccessDecision.Allowed(workspace);
    }
    if (freshness == Freshness.EXPIRED) {
      return new AccessDecision.Uncertain("the configuration has not been confirmed for too long");
    }
    if (workspace.isPresent()) {
      return new AccessDecision.Allowed(workspace);
    }
    // The key may be in a newer version; without a key there is nothing to wait for.
    return freshness == Freshness.OUTDATED && !credential.equals(Credential.NONE)
        ? new AccessDecision.Uncertain("a newer configuration may hold the key")
        : new AccessDecision.Unauthorized();
  }
}
