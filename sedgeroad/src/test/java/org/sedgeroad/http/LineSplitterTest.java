package org.sedgeroad.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against lines that are split or joined when an answer arrives in several reads. */
class LineSplitterTest {
  private final List<String> lines = new ArrayList<>();
  private final LineSplitter splitter = new LineSplitter(lines::add);

  private void feed(String text) {
    splitter.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }

  @Nested
  class Accept {
    @Test
    void joinsALineThatArrivesInParts() {
      feed("da");
      feed("ta: 1\r\n\nnext");
      assertEquals(List.of("data: 1", ""), lines);
      assertEquals(4, splitter.pendingBytes());
    }
  }

  @Nested
  class Finish {
    @Test
    void passesTheLastLineWithoutTerminator() {
      feed("last");
      splitter.finish();
      assertEquals(List.of("last"), lines);
    }
  }
}
