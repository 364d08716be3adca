package org.sedgeroad.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a change whose effect the operator does not see, and against printed keys. */
class ConfigurationDifferencesTest {
  private final SampleConfiguration next = new SampleConfiguration();
  private final SampleConfiguration current = new SampleConfiguration();

  @BeforeEach
  void raiseVersion() {
    next.root().put("version", 8);
  }

  private List<Finding> differences() {
    return ConfigurationDifferences.between(next.document(), current.document());
  }

  private void assertPlaces(String... expected) {
    assertEquals(List.of(expected), SampleConfiguration.places(differences()));
  }

  private String reason(int index) {
    return differences().get(index).reason();
  }

  @Test
  void doNotExistForTheSameConfiguration() {
    assertPlaces();
    next.root().put("version", 7);
    assertPlaces();
  }

  @Test
  void withAVersionThatIsNotHigherAreAnError() {
    next.root().put("version", 6);
    assertPlaces("error version");
  }

  @Test
  void ofRoutes() {
    next.entry("routes", 0).put("timeoutMillis", 4_000).put("service", "spare");
    next.list("routes").remove(1);
    next.copy("routes", 0, "new").put("pathPrefix", "/new/");
    assertPlaces(
        "note routes[0].split",
        "note routes[0].timeoutMillis",
        "note routes[1]",
        "note against:routes[1]");
    assertTrue(reason(1).contains("5000 becomes 4000: unanswered requests are refused earlier"));
    assertTrue(reason(3).contains("answered with 404; its waiting items are given up"));
  }

  @Test
  void ofARemovedRouteNameTheOneThatMatchesInstead() {
    next.list("routes").remove(0);
    next.copy("routes", 0, "all").put("pathPrefix", "/");
    assertTrue(reason(1).contains("matched by \"all\""), reason(1));
  }

  @Test
  void ofKeysAreCountedAndNeverPrinted() {
    next.entry("workspaces", 0).putArray("keys").add("secret-a").add("secret-c").add("secret-d");
    next.entry("workspaces", 1).putArray("keys").add("secret-e");
    assertPlaces(
        "note workspaces[0].keys",
        "note workspaces[0].keys",
        "note workspaces[1].keys",
        "note against:workspaces[0].keys");
    assertTrue(reason(0).contains("keys added: 1"));
    assertTrue(reason(1).contains("keys moved here from another workspace: 1"));
    assertTrue(reason(3).contains("keys revoked: 1"));
    assertFalse((differences() + " " + next.document()).contains("secret"));
  }

  @Test
  void ofLimits() {
    next.entry("workspaces", 0).put("requestsPerSecond", 0).put("burst", 2).put("priority", 2);
    next.entry("services", 0).put("engineSlots", 4).remove("engineTokens");
    ((ObjectNode) next.root().path("limits")).remove("bodyBytes");
    assertPlaces(
        "note services[0].engineSlots",
        "note services[0].engineTokens",
        "note workspaces[0].priority",
        "note workspaces[0].requestsPerSecond",
        "note workspaces[0].burst",
        "note limits.bodyBytes");
    assertTrue(reason(3).contains("more requests are accepted"));
    assertTrue(reason(4).contains("refused within one window"));
  }

  @Test
  void ofTheWholeListOfWorkspaces() {
    next.root().remove("workspaces");
    assertTrue(reason(0).contains("no request needs a key"));
    assertEquals("against:workspaces[0]", differences().get(1).place());
  }
}
