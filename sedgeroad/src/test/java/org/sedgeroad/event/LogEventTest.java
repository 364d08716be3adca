package org.sedgeroad.event;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against events that are missing from docs/EVENTS.md or described wrongly there. */
class LogEventTest {
  private static List<String> codeRows() {
    return Arrays.stream(LogEvent.values())
        .map(event -> event.number() + " | " + event.level() + " | " + event.text())
        .sorted()
        .toList();
  }

  @Nested
  class EventsPage {
    @Test
    void listsExactlyTheEventsOfTheCode() throws IOException {
      List<String> pageRows =
          Files.readAllLines(Path.of("../docs/EVENTS.md")).stream()
              .filter(line -> line.matches("\\| [0-9]{4} \\|.*"))
              .map(line -> line.split(" *\\| *"))
              .map(cells -> cells[1] + " | " + cells[2] + " | " + cells[3])
              .sorted()
              .toList();
      assertEquals(String.join("\n", codeRows()), String.join("\n", pageRows));
    }

    @Test
    void explainsEachEvent() throws IOException {
      Files.readAllLines(Path.of("../docs/EVENTS.md")).stream()
          .filter(line -> line.matches("\\| [0-9]{4} \\|.*"))
          .forEach(line -> assertEquals(6, line.split(" *\\| *\\S").length, line));
    }
  }

  @Nested
  class Number {
    @Test
    void isUnique() {
      long distinct = Arrays.stream(LogEvent.values()).map(LogEvent::number).distinct().count();
      assertEquals(LogEvent.values().length, distinct);
    }
  }
}
