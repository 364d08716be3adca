package org.sedgeroad.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against leases that are used for too long or considered expired too early. */
class LeaseTableTest {
  private static final long SECOND = 1_000_000_000L;

  private final LeaseTable table = LeaseTable.ofMillis(6_000);

  @Nested
  class IsHeld {
    @Test
    void countsFromBeforeTheRenewalWasSent() {
      assertFalse(table.isHeld(0));
      table.renewed(SECOND);
      assertTrue(table.isHeld(7 * SECOND - 1));
      assertFalse(table.isHeld(7 * SECOND));
    }

    @Test
    void isNotShortenedByALateOlderRenewal() {
      table.renewed(3 * SECOND);
      table.renewed(SECOND);
      assertTrue(table.isHeld(8 * SECOND));
    }
  }

  @Nested
  class ExpiryCount {
    @Test
    void countsARenewalThatWasAnsweredAfterTheEndOfTheLease() {
      table.renewed(0, SECOND);
      table.renewed(5 * SECOND, 6 * SECOND - 1);
      assertEquals(0, table.expiryCount());
      table.renewed(10 * SECOND, 11 * SECOND);
      assertEquals(1, table.expiryCount());
    }
  }

  @Nested
  class IsExpired {
    @Test
    void countsFromTheEndOfTheFirstReadingToTheStartOfTheLast() {
      table.observeAll(Map.of("a#1", 1L), 0, 2 * SECOND);
      table.observeAll(Map.of("a#1", 1L), 8 * SECOND - 1, 9 * SECOND);
      assertFalse(table.isExpired("a#1", 9 * SECOND));
      table.observeAll(Map.of("a#1", 1L), 8 * SECOND, 9 * SECOND);
      assertTrue(table.isExpired("a#1", 9 * SECOND));
    }

    @Test
    void startsAgainWithEachNewCounter() {
      table.observeAll(Map.of("a#1", 1L), 0, 0);
      table.observeAll(Map.of("a#1", 2L), 5 * SECOND, 5 * SECOND);
      table.observeAll(Map.of("a#1", 2L), 10 * SECOND, 10 * SECOND);
      assertFalse(table.isExpired("a#1", 10 * SECOND));
    }

    @Test
    void staysFalseWithoutFurtherReadings() {
      table.observeAll(Map.of("a#1", 1L), 0, 0);
      assertFalse(table.isExpired("a#1", 3600 * SECOND));
      assertFalse(table.isExpired("unseen#1", 0));
      assertFalse(table.isExpired("unseen#1", 3600 * SECOND));
    }

    @Test
    void isTrueForARemovedHolder() {
      assertFalse(table.isExpired("a#1", SECOND));
      table.observeAll(Map.of(), SECOND, 2 * SECOND);
      assertFalse(
          table.isExpired("a#1", 2 * SECOND),
          "the read may have started before the holder was first named");
      table.observeAll(Map.of(), 3 * SECOND, 3 * SECOND);
      assertTrue(table.isExpired("a#1", 3 * SECOND));
    }
  }

  @Nested
  class TakeExpired {
    @Test
    void returnsEachExpiredHolderOnce() {
      table.observeAll(Map.of("a#1", 1L), 0, 0);
      assertEquals(Set.of(), table.takeExpired(0));
      table.observeAll(Map.of("a#1", 1L), 6 * SECOND, 6 * SECOND);
      assertEquals(Set.of("a#1"), table.takeExpired(6 * SECOND));
      assertEquals(Set.of(), table.takeExpired(6 * SECOND));
      table.observeAll(Map.of("a#1", 2L), 7 * SECOND, 7 * SECOND);
      table.observeAll(Map.of("a#1", 2L), 13 * SECOND, 13 * SECOND);
      assertEquals(Set.of("a#1"), table.takeExpired(13 * SECOND));
    }
  }
}
