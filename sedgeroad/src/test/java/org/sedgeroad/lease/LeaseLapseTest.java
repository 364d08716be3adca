package org.sedgeroad.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that continues work of a lease that expired before the present one.
 */
class LeaseLapseTest {
  private static final long MILLISECOND = 1_000_000L;

  private final LeaseTable leases = LeaseTable.ofMillis(6);

  @Test
  void aRenewalInTimeContinuesTheLease() {
    leases.renewed(0);
    leases.renewed(5 * MILLISECOND);
    assertTrue(leases.isHeld(10 * MILLISECOND));
    assertEquals(0, leases.expiryCount());
  }

  @Test
  void aRenewalSentAfterTheEndIsANewLease() {
    leases.renewed(0);
    assertFalse(leases.isHeld(6 * MILLISECOND));
    leases.renewed(6 * MILLISECOND);
    assertTrue(leases.isHeld(7 * MILLISECOND));
    assertEquals(1, leases.expiryCount());
  }
}
