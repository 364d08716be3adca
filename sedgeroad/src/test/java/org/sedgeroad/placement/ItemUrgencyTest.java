package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against late items that get slots first and so make all other items late, too. */
class ItemUrgencyTest {
  private static final long SECOND = 1_000_000_000L;

  @Nested
  class Order {
    @Test
    void putsItemsThatCannotEndInTimeLast() {
      ItemUrgency late = new ItemUrgency(100, 0, SECOND);
      ItemUrgency soon = new ItemUrgency(2 * SECOND, 0, SECOND);
      ItemUrgency afterwards = new ItemUrgency(3 * SECOND, 0, SECOND);
      assertEquals(
          List.of(soon, afterwards, late),
          List.of(late, afterwards, soon).stream().sorted(ItemUrgency.ORDER).toList());
    }

    @Test
    void putsNearlyDoneItemsFirst() {
      ItemUrgency soon = new ItemUrgency(2 * SECOND, 0, SECOND);
      ItemUrgency nearlyDone = new ItemUrgency(9 * SECOND, 0, SECOND / 5);
      assertEquals(
          List.of(nearlyDone, soon),
          List.of(soon, nearlyDone).stream().sorted(ItemUrgency.ORDER).toList());
    }

    @Test
    void isKeptWhenTheClockOverflows() {
      ItemUrgency before = new ItemUrgency(Long.MAX_VALUE, Long.MAX_VALUE - 5, 1);
      ItemUrgency after = new ItemUrgency(Long.MIN_VALUE + 5, Long.MAX_VALUE - 5, 1);
      assertEquals(
          List.of(before, after),
          List.of(after, before).stream().sorted(ItemUrgency.ORDER).toList());
    }
  }
}
