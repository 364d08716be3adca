package org.sedgeroad.access;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that run for a caller who may not send them, or not any more. */
class AccessPolicyTest {
  private static final Workspace CHESS = new Workspace("chess", OptionalInt.of(1), 10, 5);

  private static WorkspaceDirectory directory() {
    WorkspaceDirectory.Builder builder = new WorkspaceDirectory.Builder();
    builder.add(CHESS);
    builder.addKey(CHESS, "secret");
    return builder.build();
  }

  private static Credential key(String... values) {
    return Credential.of(List.of(values), "Token");
  }

  private static AccessDecision decide(boolean isPublic, Credential credential, Freshness age) {
    return AccessPolicy.decide(directory(), isPublic, credential, age);
  }

  @Nested
  class Keys {
    @Test
    void nameTheWorkspace() {
      assertEquals(
          new AccessDecision.Allowed(Optional.of(CHESS)),
          decide(false, key("Token secret"), Freshness.CURRENT));
    }

    @Test
    void thatAreMissingMalformedRepeatedOrUnknownAreRefused() {
      for (Credential credential :
          List.of(
              key(),
              key(""),
              key("secret"),
              key("Bearer secret"),
              key("Token"),
              key("Token secret more"),
              key("Token other"),
              key("Token secret", "Token secret"))) {
        assertInstanceOf(
            AccessDecision.Unauthorized.class, decide(false, credential, Freshness.CURRENT));
      }
    }

    @Test
    void areNotNeededWithoutWorkspaces() {
      assertEquals(
          new AccessDecision.Allowed(Optional.empty()),
          AccessPolicy.decide(WorkspaceDirectory.NONE, false, Credential.NONE, Freshness.EXPIRED));
    }

    @Test
    void areInNoText() {
      assertFalse(key("Token secret").toString().contains("secret"));
    }
  }

  @Nested
  class PublicRoutes {
    @Test
    void serveAllCallersAtAnyAgeAndNameTheWorkspaceIfItIsKnown() {
      for (Freshness age : Freshness.values()) {
        assertEquals(
            new AccessDecision.Allowed(Optional.empty()), decide(true, key("Token other"), age));
        assertEquals(
            new AccessDecision.Allowed(Optional.of(CHESS)), decide(true, key("Token secret"), age));
      }
    }
  }

  @Nested
  class OldConfiguration {
    @Test
    void servesNoKey() {
      for (Credential credential : List.of(key("Token secret"), key("Token other"), key())) {
        assertInstanceOf(
            AccessDecision.Uncertain.class, decide(false, credential, Freshness.EXPIRED));
      }
    }

    @Test
    void rejectsNoKeyForGoodThatANewerOneMayHold() {
      assertInstanceOf(
          AccessDecision.Uncertain.class, decide(false, key("Token other"), Freshness.OUTDATED));
      assertInstanceOf(AccessDecision.Unauthorized.class, decide(false, key(), Freshness.OUTDATED));
    }
  }

  @Nested
  class Directory {
    @Test
    void leavesAKeyOfTwoWorkspacesToTheFirstAndNamesBothWithoutTheKey() {
      WorkspaceDirectory.Builder builder = new WorkspaceDirectory.Builder();
      Workspace other = new Workspace("go", OptionalInt.empty(), 0, 0);
      builder.add(CHESS);
      builder.add(other);
      builder.addKey(CHESS, "secret");
      builder.addKey(other, "secret");
      WorkspaceDirectory directory = builder.build();
      assertEquals(Optional.of(CHESS), directory.find(key("Token secret")));
      assertEquals(1, directory.warnings().size());
      String warning = directory.warnings().get(0);
      assertFalse(warning.contains("secret"));
      assertEquals(List.of(true, true), List.of(warning.contains("chess"), warning.contains("go")));
    }
  }
}
