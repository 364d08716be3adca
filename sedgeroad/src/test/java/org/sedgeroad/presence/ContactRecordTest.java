package org.sedgeroad.presence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an instance that does not notice that others may have taken its jobs over. */
class ContactRecordTest {
  private static final long LOSS_NANOS = ContactRecord.LOSS_MILLIS * 1_000_000L;

  private final ContactRecord contact = new ContactRecord(ContactRecord.LOSS_MILLIS);

  @Nested
  class Kept {
    @Test
    void withoutOtherInstances() {
      assertEquals(contact.epoch(0), contact.epoch(100 * LOSS_NANOS));
    }

    @Test
    void byMessagesThatComeInTime() {
      contact.heard(0);
      int before = contact.epoch(0);
      for (int message = 1; message < 10; message++) {
        contact.heard(message * (LOSS_NANOS - 1));
      }
      assertEquals(before, contact.epoch(10 * (LOSS_NANOS - 1) - 1));
    }
  }

  @Nested
  class Lost {
    @Test
    void isNoticedWhileItLasts() {
      contact.heard(0);
      int before = contact.epoch(0);
      int lost = contact.epoch(LOSS_NANOS);
      assertNotEquals(before, lost);
      assertEquals(lost, contact.epoch(5 * LOSS_NANOS));
    }

    /** The jobs may be taken over at any time until contact is regained. */
    @Test
    void isNoticedAgainWhenItEnds() {
      contact.heard(0);
      int lost = contact.epoch(2 * LOSS_NANOS);
      contact.heard(2 * LOSS_NANOS);
      assertNotEquals(lost, contact.epoch(2 * LOSS_NANOS));
    }

    @Test
    void isNoticedIfItHasEnded() {
      contact.heard(0);
      int before = contact.epoch(0);
      contact.heard(2 * LOSS_NANOS);
      assertNotEquals(before, contact.epoch(2 * LOSS_NANOS));
    }
  }
}
