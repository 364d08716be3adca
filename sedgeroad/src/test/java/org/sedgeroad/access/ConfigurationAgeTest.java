package org.sedgeroad.access;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.presence.Confirmation;

/** Guards against an instance that takes an old configuration for the newest one. */
class ConfigurationAgeTest {
  private static final long REVOKE_MILLIS = 5_000;
  private static final long EXPIRY_MILLIS = 3_000;

  private long nanos = 1_000_000_000L;
  private long wallMillis = 1_700_000_000_000L;
  private long version = 7;
  private final ConfigurationAge age =
      new ConfigurationAge(REVOKE_MILLIS, () -> nanos, () -> wallMillis, () -> version);

  /** Lets time pass as on a running instance, which observes the clocks every 50 ms. */
  private void run(long millis) {
    for (long left = millis; left > 0; left -= 50) {
      nanos += Math.min(50, left) * 1_000_000L;
      wallMillis += Math.min(50, left);
      age.observe();
    }
  }

  private Freshness freshness() {
    return age.freshness(0);
  }

  @Nested
  class OwnRead {
    @Test
    void confirmsFromItsBeginning() {
      assertEquals(Freshness.EXPIRED, freshness());
      long began = age.observe();
      run(400);
      age.confirm(began);
      assertEquals(400, age.ageMillis());
      run(EXPIRY_MILLIS - 400);
      assertEquals(Freshness.CURRENT, freshness());
      run(50);
      assertEquals(Freshness.EXPIRED, freshness());
    }

    /** Otherwise an instance would refuse requests while it still says that it is ready. */
    @Test
    void expiresAtTheStatedTime() {
      age.confirm(age.observe());
      run(1_000);
      long expiry = age.expiresAtNanos();
      assertEquals(nanos + (EXPIRY_MILLIS - 1_000) * 1_000_000L, expiry);
      run((expiry - nanos) / 1_000_000L + 1);
      assertEquals(Freshness.EXPIRED, freshness());
      assertTrue(nanos - expiry > 0);
    }
  }

  @Nested
  class OtherInstance {
    @Test
    void confirmsWithItsAgeAndIsPassedOn() {
      age.receive(new Confirmation(7, 1_000), nanos);
      run(500);
      assertEquals(1_500, age.ageMillis());
      assertEquals(new Confirmation(7, 1_500), age.confirmation());
    }

    @Test
    void withANewerVersionConfirmsOnlyOnceThatVersionIsInForce() {
      age.receive(new Confirmation(7, 0), nanos);
      run(1_000);
      age.receive(new Confirmation(8, 0), nanos);
      assertEquals(1_000, age.ageMillis());
      assertEquals(Freshness.OUTDATED, freshness());
      version = 8;
      assertEquals(0, age.ageMillis());
      assertEquals(Freshness.CURRENT, freshness());
    }

    @Test
    void thatKnowsNothingConfirmsNothing() {
      age.receive(Confirmation.NONE, nanos);
      assertFalse(age.isConfirmed());
      assertEquals(Confirmation.NONE, age.confirmation());
    }
  }

  @Nested
  class BusyInstance {
    @Test
    void doesNotTakeAMessageThatHasWaitedForANewOne() {
      age.receive(new Confirmation(7, 0), nanos);
      long reported = nanos;
      run(2_900);
      age.receive(new Confirmation(7, 50), reported);
      run(150);
      assertEquals(Freshness.EXPIRED, freshness());
    }
  }

  @Nested
  class Pause {
    @Test
    void thatOnlyTheWallClockCountsMakesTheConfigurationOlder() {
      age.receive(new Confirmation(7, 0), nanos);
      wallMillis += 4_000;
      assertEquals(Freshness.EXPIRED, freshness());
    }

    @Test
    void thatTheMonotonicClockCountsDoesToo() {
      age.receive(new Confirmation(7, 0), nanos);
      nanos += 4_000_000_000L;
      wallMillis += 4_000;
      assertEquals(Freshness.EXPIRED, freshness());
    }

    @Test
    void makesMessagesOldThatAnswerAReportBeforeIt() {
      long reported = nanos;
      nanos += 4_000_000_000L;
      wallMillis += 4_000;
      age.receive(new Confirmation(7, 10), reported);
      assertEquals(Freshness.EXPIRED, freshness());
      age.receive(new Confirmation(7, 10), nanos);
      assertEquals(Freshness.CURRENT, freshness());
    }

    @Test
    void thatOnlyTheWallClockCountsMakesThemWorthless() {
      long reported = nanos;
      wallMillis += 4_000;
      age.receive(new Confirmation(7, 10), reported);
      assertEquals(Freshness.EXPIRED, freshness());
    }

    @Test
    void duringARead() {
      long began = age.observe();
      wallMillis += 4_000;
      age.confirm(began);
      assertTrue(age.ageMillis() >= 4_000);
    }

    @Test
    void isNotSeenInABackwardStepOfTheWallClock() {
      age.receive(new Confirmation(7, 0), nanos);
      wallMillis -= 10_000;
      assertEquals(Freshness.CURRENT, freshness());
    }
  }

  @Nested
  class WithoutABound {
    @Test
    void noAgeIsTooOld() {
      ConfigurationAge unbounded =
          new ConfigurationAge(0, () -> nanos, () -> wallMillis, () -> version);
      assertEquals(Freshness.CURRENT, unbounded.freshness(7));
      assertEquals(Freshness.OUTDATED, unbounded.freshness(8));
    }
  }
}
