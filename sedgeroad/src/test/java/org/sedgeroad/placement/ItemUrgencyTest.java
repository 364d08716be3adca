package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against an order in which late items get slots first, which would make other items late,
 * too.
 */
class ItemUrgencyTest {
  private static final long SECOND = 1_000_000_000L;

  @Nested
  class Order {
    @Test
    void putsLateItemsLast() {
      ItemUrgency late = new ItemUrgency(100, 0, SECOND);
      ItemUrgency dueSoon = new ItemUrgency(2 * SECOND, 0, SECOND);
      ItemUrgency dueLater = new ItemUrgency(3 * SECOND, 0, SECOND);
      assertEquals(
          List.of(dueSoon, dueLater, late),
          List.of(late, dueLater, dueSoon).stream().sorted(ItemUrgency.ORDER).toList());
    }

    @Test
    void putsNearlyDoneItemsFirst() {
      ItemUrgency dueSoon = new ItemUrgency(2 * SECOND, 0, SECOND);
      ItemUrgency nearlyDone = new ItemUrgency(9 * SECOND, 0, SECOND / 5);
      assertEquals(
          List.of(nearlyDone, dueSoon),
          List.of(dueSoon, nearlyDone).stream().sorted(ItemUrgency.ORDER).toList());
    }

    @Test
    void ordersByDueTimeWhenTheClockOverflows() {
      ItemUrgency before = new ItemUrgency(Long.MAX_VALUE, Long.MAX_VALUE - 5, 1);
      ItemUrgency after = new ItemUrgency(Long.MIN_VALUE + 5, Long.MAX_VALUE - 5, 1);
      assertEquals(
          List.of(before, after),
          List.of(after, before).stream().sorted(ItemUrgency.ORDER).toList());
    }
  }
}
