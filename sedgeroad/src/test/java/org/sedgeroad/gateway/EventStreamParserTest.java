package org.sedgeroad.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against memory of incomplete events that the budget for answers does not count. */
class EventStreamParserTest {
  private final EventStreamParser parser = new EventStreamParser();

  private void accept(int bytes) {
    parser.accept(ByteBuffer.wrap("a".repeat(bytes).getBytes(StandardCharsets.US_ASCII)));
  }

  @Nested
  class IncompleteEvent {
    @Test
    void countsWithTheWholeArrayThatHoldsIt() {
      accept(40_000);
      // The array doubles when it is full, so it is larger than the event.
      assertTrue(parser.heldBytes() > 40_000, () -> parser.heldBytes() + " bytes");
    }

    @Test
    void takesNoMemoryAfterItIsDiscarded() {
      accept(1_000_000);
      parser.discard();
      assertTrue(parser.heldBytes() < 1_000, () -> parser.heldBytes() + " bytes");
      assertEquals(0, parser.takeIncompleteEvent().length);
    }
  }
}
