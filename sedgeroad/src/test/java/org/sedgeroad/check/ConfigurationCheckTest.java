package org.sedgeroad.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against mistakes of operators that instances serve without a word. */
class ConfigurationCheckTest {
  private final SampleConfiguration sample = new SampleConfiguration();

  private void assertFindings(String... expected) {
    assertEquals(List.of(expected), sample.findings());
  }

  @Nested
  class References {
    @Test
    void toUnknownServicesAreErrors() {
      sample.entry("routes", 0).put("service", "engin");
      assertFindings("error routes[0].service");
    }

    @Test
    void withOneNameForTwoEntriesAreErrors() {
      sample.copy("routes", 0, "chat").put("host", "other.example");
      sample.copy("services", 0, "engine");
      sample.copy("workspaces", 1, "lenga").putArray("keys").add("secret-d");
      assertFindings("error routes[2].name", "error services[2].name", "error workspaces[2].name");
    }

    @Test
    void ofAKeyToTwoWorkspacesAreErrors() {
      sample.entry("workspaces", 1).withArray("keys").add("secret-b").add("secret-c");
      assertFindings("error workspaces[1].keys[1]", "warning workspaces[1].keys[2]");
    }
  }

  @Nested
  class EntriesThatNeverMatch {
    @Test
    void areRoutesWithAUsedPrefixOrAPort() {
      sample.copy("routes", 0, "again").put("host", "DESK.example");
      sample.copy("routes", 0, "port").put("host", "desk.example:80");
      assertFindings("error routes[2].pathPrefix", "warning routes[3].host");
    }

    @Test
    void areRoutesThatAShorterPrefixMakesNeedless() {
      sample.copy("routes", 0, "longer").put("pathPrefix", "/chat/long/");
      assertFindings("warning routes[2].pathPrefix");
    }

    @Test
    void areNotRoutesThatChangeALimitOrTheService() {
      sample.copy("routes", 0, "slow").put("pathPrefix", "/chat/slow/").put("timeoutMillis", 9_000);
      sample.copy("routes", 0, "spare").put("pathPrefix", "/chat/x/").put("service", "spare");
      sample.copy("routes", 0, "inner").put("pathPrefix", "/chat/x/y/");
      assertFindings("note routes[2].pathPrefix");
    }

    @Test
    void arePartsOfASplitWithoutWeight() {
      sample
          .entry("routes", 1)
          .withArray("split")
          .addObject()
          .put("service", "spare")
          .put("weight", 0);
      assertFindings("warning routes[1].split[2].service");
    }

    @Test
    void areSplitsWithoutAnyWeight() {
      sample
          .entry("routes", 1)
          .withArray("split")
          .forEach(part -> ((ObjectNode) part).put("weight", 0));
      assertFindings("error routes[1].split");
    }

    @Test
    void areWorkspacesWithoutKeysAndServicesWithoutRoutes() {
      sample.entry("workspaces", 1).remove("keys");
      sample.copy("services", 1, "unused");
      assertFindings("warning workspaces[1].keys", "warning services[2]");
    }

    @Test
    void isAnEmptyListOfWorkspaces() {
      sample.list("workspaces").removeAll();
      assertFindings("warning workspaces");
    }
  }

  @Nested
  class Limits {
    @Test
    void timeoutBelowTheObjective() {
      sample.entry("routes", 0).put("timeoutMillis", 299);
      sample.entry("routes", 1).put("runTargetMillis", 599);
      assertFindings("warning routes[0].timeoutMillis", "warning routes[1].runTargetMillis");
    }

    @Test
    void moreAttemptsThanTheTimeoutAllows() {
      sample.entry("routes", 0).put("timeoutMillis", 900).put("maximumEndpoints", 3);
      assertFindings();
      sample.entry("routes", 0).put("maximumEndpoints", 4);
      assertFindings("warning routes[0].maximumEndpoints");
    }

    @Test
    void waitingTokensBelowTheLargestItem() {
      sample.entry("routes", 1).put("maximumWaitingTokens", 72_000);
      assertFindings();
      sample.entry("routes", 1).put("maximumWaitingTokens", 71_999);
      assertFindings("warning routes[1].maximumWaitingTokens");
    }

    @Test
    void quotaBelowOneRequest() {
      sample.entry("workspaces", 0).put("requestsPerSecond", 0.1).put("burst", 0.4);
      assertFindings("error workspaces[0].requestsPerSecond");
      sample.entry("workspaces", 0).put("requestsPerSecond", 1);
      assertFindings("warning workspaces[0].burst");
    }

    @Test
    void burstWithoutARate() {
      sample.entry("workspaces", 1).put("burst", 5);
      assertFindings("warning workspaces[1].burst");
    }

    @Test
    void ratesAboveTheCapacity() {
      sample.entry("workspaces", 1).put("requestsPerSecond", 995);
      assertFindings();
      sample.entry("workspaces", 1).put("requestsPerSecond", 996);
      assertFindings("warning workspaces");
      assertEquals(
          List.of("note workspaces"),
          SampleConfiguration.places(
              LimitCheck.capacity(sample.document(), new CheckOptions(5_000, 0))));
    }
  }
}
