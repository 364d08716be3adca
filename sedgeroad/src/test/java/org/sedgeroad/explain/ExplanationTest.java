package org.sedgeroad.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against explanations that lack the event that shows the cause. */
class ExplanationTest {
  private static String line(double second, String instance, int event, String fields) {
    return String.format(
        "{\"time\":\"2026-01-01T00:00:%06.3fZ\",\"level\":\"INFO\",\"event\":%d,"
            + "\"message\":\"text\",\"instance\":\"%s\"%s}",
        second, event, instance, fields);
  }

  private static String field(String name, String value) {
    return ",\"" + name + "\":\"" + value + "\"";
  }

  private static List<Integer> numbers(String id, String... lines) {
    List<LoggedEvent> log =
        List.of(lines).stream().map(LoggedEvent::parse).flatMap(Optional::stream).toList();
    return Explanation.of(id, log).events().stream().map(each -> each.event().number()).toList();
  }

  @Nested
  class Lines {
    @Test
    void areParsedAfterOtherText() {
      LoggedEvent event =
          LoggedEvent.parse("  1.25 edge-a " + line(1, "edge-a", 3005, field("request", "r1")))
              .orElseThrow();
      assertEquals("edge-a", event.instance());
      assertEquals("r1", event.field("request"));
      assertEquals("", event.field("job"));
    }

    @Test
    void areIgnoredIfTruncatedOrOfOtherPrograms() {
      assertTrue(LoggedEvent.parse("OpenJDK warning").isEmpty());
      assertTrue(LoggedEvent.parse("{\"event\":3005,\"time\":\"2026-").isEmpty());
      assertTrue(LoggedEvent.parse("{\"event\":3005,\"time\":\"noon\"}").isEmpty());
      assertTrue(LoggedEvent.parse("{\"a\":1}").isEmpty());
    }
  }

  @Nested
  class Request {
    @Test
    void isExplainedOverSeveralInstances() {
      assertEquals(
          List.of(3005, 3007, 3001),
          numbers(
              "r1",
              line(2, "edge-b", 3001, field("request", "r1")),
              line(1, "edge-a", 3005, field("request", "r1")),
              line(1.5, "edge-a", 3007, field("request", "r1")),
              line(1.2, "edge-a", 3005, field("request", "r2"))));
    }

    @Test
    void isExplainedByEarlierStoreFailureOfItsInstance() {
      assertEquals(
          List.of(2001, 3001),
          numbers(
              "r1",
              line(0.5, "edge-a", 2001, field("kind", "config")),
              line(0.5, "edge-b", 2001, field("kind", "config")),
              line(1, "edge-a", 3001, field("request", "r1"))));
    }

    @Test
    void isExplainedByProblemsOfItsEndpointAtOtherInstances() {
      String endpoint = field("endpoint", "e1");
      assertEquals(
          List.of(3005, 3007, 4007),
          numbers(
              "r1",
              line(1, "edge-a", 3005, field("request", "r1") + endpoint),
              line(1.1, "edge-b", 3007, field("request", "r2") + endpoint),
              line(1.2, "edge-b", 4007, endpoint),
              line(1.2, "edge-b", 4007, field("endpoint", "e2")),
              line(9, "edge-b", 4007, endpoint)));
    }
  }

  @Nested
  class Item {
    @Test
    void isExplainedWithItsJob() {
      String job = field("job", "j1");
      assertEquals(
          List.of(5001, 5009, 5012),
          numbers(
              "i1",
              line(1, "edge-a", 5001, job),
              line(2, "edge-a", 5009, field("request", "i1") + job),
              line(2, "edge-a", 5009, field("request", "i2") + job),
              line(3, "edge-a", 5012, job)));
    }
  }

  @Nested
  class Job {
    @Test
    void isExplainedWithItsItems() {
      String job = field("job", "j1");
      assertEquals(
          List.of(5001, 5009),
          numbers(
              "j1",
              line(1, "edge-a", 5001, job),
              line(2, "edge-a", 5009, field("request", "i1") + job)));
    }
  }

  @Nested
  class Text {
    @Test
    void countsFromTheFirstEventOfTheId() {
      LoggedEvent start = LoggedEvent.parse(line(1, "edge-a", 1001, "")).orElseThrow();
      LoggedEvent own =
          LoggedEvent.parse(
                  line(1.5, "edge-a", 3001, field("request", "r1") + field("cause", "a b")))
              .orElseThrow();
      Explanation explanation = Explanation.of("r1", List.of(start, own));
      List<String> lines = ExplanationText.lines(explanation);
      assertTrue(lines.get(0).startsWith("   -0.500 s  i edge-a"), lines.toString());
      assertTrue(lines.get(1).startsWith("   +0.000 s  * edge-a"), lines.toString());
      assertTrue(lines.get(1).endsWith("cause=\"a b\""), lines.toString());
      assertEquals(2, ExplanationText.json(explanation).path("events").size());
    }
  }
}
