package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against late items that make all others late, too. */
class ItemUrgencyTest {
  @Nested
  class Order {
    @Test
    void putsItemsThatCannotEndInTimeLast() {
      ItemUrgency late = new ItemUrgency(100, 150);
      ItemUrgency soon = new ItemUrgency(200, 150);
      ItemUrgency afterwards = new ItemUrgency(300, 150);
      assertEquals(
          List.of(soon, afterwards, late),
          List.of(late, afterwards, soon).stream().sorted(ItemUrgency.ORDER).toList());
    }

    @Test
    void holdsWhereTheClockOverflows() {
      ItemUrgency before = new ItemUrgency(Long.MAX_VALUE, Long.MAX_VALUE - 5);
      ItemUrgency after = new ItemUrgency(Long.MIN_VALUE + 5, Long.MAX_VALUE - 5);
      assertEquals(
          List.of(before, after),
          List.of(after, before).stream().sorted(ItemUrgency.ORDER).toList());
    }
  }
}
