package org.sedgeroad.testing.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;

/** Guards against an answer {@code not-run} to a request that did run (invariant P5). */
class RefusalTest {
  @Test
  void requestsRefusedAsNotRunStartNowhere() {
    try (Deployment deployment = Deployment.start(DeploymentPlan.demo())) {
      for (EndpointProcess engine : deployment.engines()) {
        deployment.control(engine.address(), "/control/drain", "{\"draining\":true}");
      }
      int refused = 0;
      for (int call = 0; call < 20; call++) {
        ApiClient client = deployment.client(call % 2);
        ApiAnswer answer = client.complete(deployment.plan().model(), "call " + call, 3, true);
        assertEquals("not-run", answer.work(), answer.body());
        refused++;
      }
      assertEquals(20, refused);
      assertTrue(Histories.engineEvents(deployment, "start").isEmpty(), "refused work ran");
    }
  }
}
