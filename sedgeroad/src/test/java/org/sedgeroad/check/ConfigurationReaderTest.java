package org.sedgeroad.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against values that are sent although instances leave them out or misunderstand them. */
class ConfigurationReaderTest {
  private final SampleConfiguration sample = new SampleConfiguration();

  @Nested
  class Values {
    @Test
    void ofAValidConfigurationAreNotReported() {
      assertEquals(List.of(), sample.findings());
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "routes|timeoutMillis|0",
          "routes|timeoutMillis|1.5",
          "routes|timeoutMillis|86400001",
          "routes|timeoutMillis|\"300\"",
          "routes|objectiveMillis|-1",
          "routes|maximumEndpoints|0",
          "routes|priority|-1",
          "routes|priority|1e400",
          "routes|kind|\"tunnel\"",
          "routes|pathPrefix|\"chat/\"",
          "routes|resumable|1",
          "routes|service|17",
          "services|engineSlots|0",
          "workspaces|requestsPerSecond|-0.5",
          "workspaces|burst|1e400",
          "workspaces|priority|\"0\"",
          "workspaces|name|\"line\\nfeed\"",
          "workspaces|name|\"secret-b\"",
          "workspaces|keys|{}",
        })
    void outOfRangeAreReportedWithTheirPlace(String list, String field, String value)
        throws Exception {
      JsonNode node = new ObjectMapper().readTree(value);
      sample.entry(list, 0).set(field, node);
      List<String> places = SampleConfiguration.places(sample.read().findings());
      assertEquals(List.of("error " + list + "[0]." + field), places);
    }

    @Test
    void withAWrongFormAreReportedOneByOne() {
      sample.list("routes").add(5);
      sample.entry("routes", 1).withArray("split").insertObject(0).put("service", "engine");
      sample.entry("workspaces", 0).withArray("keys").add(7).add("two words");
      sample.root().put("limits", "none");
      assertEquals(
          List.of(
              "error routes[1].split[0].weight",
              "error routes[2]",
              "error workspaces[0].keys[2]",
              "warning workspaces[0].keys[3]",
              "error limits"),
          SampleConfiguration.places(sample.read().findings()));
    }

    @Test
    void ofAFileWithNothingElseAreReportedUpToABound() {
      for (int entry = 0; entry < 20_000; entry++) {
        sample.list("services").add(0);
      }
      assertEquals(10_001, sample.read().findings().size());
    }

    @Test
    void thatAreLongAreNotCompared() {
      sample.entry("routes", 0).put("pathPrefix", "/".repeat(4_097));
      assertEquals(List.of("error routes[0].pathPrefix"), sample.findings());
    }

    @Test
    void areFoundInAStoredObject() {
      sample.entry("routes", 0).put("host", "");
      String text = "{\"metadata\": {}, \"spec\": " + sample.root() + "}";
      assertEquals(
          List.of("error spec.routes[0].host"),
          SampleConfiguration.places(SampleConfiguration.read(text).findings()));
    }
  }

  @Nested
  class Unreadable {
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "{\"version\": secret}|line 1, column",
          "{\"a\": 1, \"a\": 2}|line 1, column",
          "{} {}|line 1, column",
          "[1]|''",
          "''|''",
        })
    void filesAreReportedWithTheirPlace(String text, String place) {
      UnreadableConfigurationException unreadable =
          assertThrows(
              UnreadableConfigurationException.class,
              () ->
                  ConfigurationReader.read(
                      text.getBytes(StandardCharsets.UTF_8), ConfigurationFormat.PRODUCT));
      assertEquals(place, unreadable.place().replaceAll(" \\d+$", ""));
      assertFalse(unreadable.getMessage().contains("secret"), unreadable.getMessage());
    }
  }
}
